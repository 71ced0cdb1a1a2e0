package io.radishspindle.protocol;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual challenge with HMAC-SHA256. The code covers the role, both VM ids and both nonces, so that it can be neither
 * replayed, nor reflected to its sender, nor passed on to another VM. Thread-safe.
 */
final class PeerAuthenticator {
    private static final String ALGORITHM = "HmacSHA256";
    static final int NONCE_BYTES = 32;

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    /** Which side computes a code. */
    enum Role {
        CONNECTING,
        ACCEPTING
    }

    /** What both sides know after the nonces are exchanged. Immutable by convention; the arrays are not copied. */
    record Challenge(String connectingVm, byte[] connectingNonce, String acceptingVm, byte[] acceptingNonce) {
        Challenge {
            if (connectingNonce.length != NONCE_BYTES || acceptingNonce.length != NONCE_BYTES) {
                throw new ProtocolException("nonce must have " + NONCE_BYTES + " bytes");
            }
        }
    }

    PeerAuthenticator(String sharedKey) {
        key = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    }

    byte[] nonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    byte[] code(Role role, Challenge challenge) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            // MessagePack keeps the boundaries between the parts, so that no two challenges share their bytes.
            mac.update(PeerCodec.encode(role.name()));
            return mac.doFinal(PeerCodec.encode(challenge));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", e);
        }
    }

    boolean matches(Role role, Challenge challenge, byte[] code) {
        return MessageDigest.isEqual(code(role, challenge), code);
    }
}
