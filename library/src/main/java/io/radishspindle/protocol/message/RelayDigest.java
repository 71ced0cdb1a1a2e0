package io.radishspindle.protocol.message;

import io.radishspindle.membership.MemberState;
import io.radishspindle.protocol.PeerMessage;
import java.util.List;

/**
 * What the relay VM of a data centre tells the relay of another region about the entry VMs of its data centre. The
 * receiver passes it on inside its own data centre. Immutable and thread-safe.
 *
 * @param dataCentre data centre that is described
 * @param relayVm relay that wrote the digest
 * @param incarnation incarnation of that relay
 * @param sequence increases with each digest of the relay to the same VM
 * @param ackedIncarnation incarnation of the receiver whose digests the relay has seen; 0 for none
 * @param ackedSequence highest sequence received from the receiver in that incarnation
 * @param forwarded sent by a VM of the receiver's data centre, not by the relay itself
 * @param members VMs whose state the receiver has not acknowledged yet; the others are unchanged
 */
public record RelayDigest(
        String dataCentre,
        String relayVm,
        long incarnation,
        long sequence,
        long ackedIncarnation,
        long ackedSequence,
        boolean forwarded,
        List<MemberState> members)
        implements PeerMessage {}
