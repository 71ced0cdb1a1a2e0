package io.radishspindle.protocol;

import io.radishspindle.protocol.message.CancelJob;
import io.radishspindle.protocol.message.ConfigDocument;
import io.radishspindle.protocol.message.ConfigPull;
import io.radishspindle.protocol.message.Done;
import io.radishspindle.protocol.message.ForwardRequest;
import io.radishspindle.protocol.message.ForwardResponse;
import io.radishspindle.protocol.message.Heartbeat;
import io.radishspindle.protocol.message.JobStatusReply;
import io.radishspindle.protocol.message.ListJobs;
import io.radishspindle.protocol.message.ListJobsReply;
import io.radishspindle.protocol.message.QueryJob;
import io.radishspindle.protocol.message.RelayDigest;
import io.radishspindle.protocol.message.SubmitJob;
import java.util.Map;

/** Type codes of the messages. A code is never reused; new messages get new codes. Immutable and thread-safe. */
public final class MessageTypes {
    public static final Map<Integer, Class<? extends PeerMessage>> BY_CODE = Map.ofEntries(
            Map.entry(1, Heartbeat.class),
            Map.entry(2, ConfigPull.class),
            Map.entry(3, ConfigDocument.class),
            Map.entry(4, SubmitJob.class),
            Map.entry(5, JobStatusReply.class),
            Map.entry(6, QueryJob.class),
            Map.entry(7, CancelJob.class),
            Map.entry(8, ListJobs.class),
            Map.entry(9, ListJobsReply.class),
            Map.entry(10, ForwardRequest.class),
            Map.entry(11, ForwardResponse.class),
            Map.entry(12, Done.class),
            Map.entry(13, RelayDigest.class));

    private MessageTypes() {}
}
