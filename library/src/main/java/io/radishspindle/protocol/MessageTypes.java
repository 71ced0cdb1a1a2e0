package io.radishspindle.protocol;

import io.radishspindle.protocol.message.CancelJob;
import io.radishspindle.protocol.message.ConfigDocument;
import io.radishspindle.protocol.message.ConfigPull;
import io.radishspindle.protocol.message.EmptyReply;
import io.radishspindle.protocol.message.ForwardRequest;
import io.radishspindle.protocol.message.ForwardResponse;
import io.radishspindle.protocol.message.Heartbeat;
import io.radishspindle.protocol.message.JobStatusReply;
import io.radishspindle.protocol.message.ListJobs;
import io.radishspindle.protocol.message.ListJobsReply;
import io.radishspindle.protocol.message.PoolMessages;
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
            Map.entry(12, EmptyReply.class),
            Map.entry(13, RelayDigest.class),
            Map.entry(14, PoolMessages.JobStored.class),
            Map.entry(15, PoolMessages.CancelStored.class),
            Map.entry(16, PoolMessages.QueryPoolJob.class),
            Map.entry(17, PoolMessages.PoolJobState.class),
            Map.entry(18, PoolMessages.QueryPending.class),
            Map.entry(19, PoolMessages.PendingJobs.class),
            Map.entry(20, PoolMessages.PoolPing.class),
            Map.entry(21, PoolMessages.PoolPong.class),
            Map.entry(22, PoolMessages.RequestAdvice.class),
            Map.entry(23, PoolMessages.AdviceReply.class),
            Map.entry(24, PoolMessages.RelayStore.class),
            Map.entry(25, PoolMessages.RelayStoreReply.class),
            Map.entry(26, PoolMessages.QueryConfig.class),
            Map.entry(27, PoolMessages.ConfigReply.class));

    private MessageTypes() {}
}
