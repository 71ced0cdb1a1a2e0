package io.radishspindle.protocol;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Mutual challenge-response authentication with HMAC-SHA256. An authentication code covers the role, both VM ids and
 * both nonces, so that it can't be replayed, reflected to its sender or relayed to another VM. Thread-safe.
 */
final class PeerAuthenticator {
    private static final String ALGORITHM = "HmacSHA256";
    static final int NONCE_BYTES = 32;

    private final SecretKeySpec key;
    private final SecureRandom random = new SecureRandom();

    /** Side of the connection that computes a code. */
    enum Role {
        CONNECTING,
        ACCEPTING
    }

    /**
     * Input of the authentication codes, known to both sides once the nonces are exchanged. Immutable by convention;
     * the arrays are not copied.
     */
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

    byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        random.nextBytes(nonce);
        return nonce;
    }

    byte[] codeFor(Role role, Challenge challenge) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            // MessagePack keeps the boundaries between the parts, so that no two challenges have the same encoding.
            mac.update(PeerCodec.encode(role.name()));
            return mac.doFinal(PeerCodec.encode(challenge));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(ALGORITHM + " is missing from this Java runtime", e);
        }
    }

    boolean matches(Role role, Challenge challenge, byte[] code) {
        return MessageDigest.isEqual(codeFor(role, challenge), code);
    }
}
