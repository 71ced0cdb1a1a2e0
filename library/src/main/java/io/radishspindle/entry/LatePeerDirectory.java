package io.radishspindle.entry;

import io.radishspindle.protocol.PeerDirectory;
import java.util.Objects;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * A directory that is known only after the messenger that uses it: membership needs the messenger for its
 * heartbeats, and the messenger needs membership for the addresses. Belongs to one event loop; set once before
 * first use.
 */
final class LatePeerDirectory implements PeerDirectory {
    private @Nullable PeerDirectory directory;

    void set(PeerDirectory known) {
        directory = known;
    }

    @Override
    public Optional<PeerAddress> addressOf(String vmId) {
        return Objects.requireNonNull(directory, "peer directory is used before it is set")
                .addressOf(vmId);
    }
}
