package io.radishspindle.membership;

import io.radishspindle.protocol.PeerMessage;

/** What the membership core wants done. Actions are immutable and thread-safe. */
sealed interface MembershipAction {
    /** Send a one-way message. */
    record Send(String toVm, PeerMessage message) implements MembershipAction {}

    /** The view differs from the last one. */
    record ViewChanged(MembershipView view) implements MembershipAction {}

    /** This VM was paused; the VM list must be read again at once. */
    record Resumed(long pausedMs) implements MembershipAction {}
}
