package io.radishspindle.protocol.message;

import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.protocol.PeerMessage;
import java.util.List;
import java.util.Map;

/** Messages about pools. All are immutable records and thread-safe. */
public final class PoolMessages {
    private PoolMessages() {}

    /** Tells the owner of a pool that a job has been stored; a lost message is made up for by the owner's watch. */
    public record JobStored(PoolJob job) implements PeerMessage {}

    /** Tells the owner of a pool that the cancellation of a job has been stored. */
    public record CancelStored(String pool, String jobId) implements PeerMessage {}

    /** Asks the owner for the state of a job; answered by {@link PoolJobState}. */
    public record QueryPoolJob(String pool, String jobId) implements PeerMessage {}

    /**
     * State of a job.
     *
     * @param phase name of a {@link io.radishspindle.pool.model.JobPhase}; empty if the job is unknown to the owner
     */
    public record PoolJobState(String phase) implements PeerMessage {}

    /** Asks the owner how many jobs of a queue wait for their first start; answered by {@link PendingJobs}. */
    public record QueryPending(String pool, String queue) implements PeerMessage {}

    /** Number of jobs without a started task. */
    public record PendingJobs(int count) implements PeerMessage {}

    /** Asks whether the receiver owns a pool; answered by {@link PoolPong}. */
    public record PoolPing(String pool) implements PeerMessage {}

    /**
     * Answer to a ping.
     *
     * @param owner whether the sender owns the pool
     */
    public record PoolPong(boolean owner) implements PeerMessage {}

    /** Asks a VM to make a call for advice; answered by {@link AdviceReply}. */
    public record RequestAdvice(String step, List<String> workers, long expectedMs) implements PeerMessage {}

    /** Tickets by worker id, with their validity in milliseconds. */
    public record AdviceReply(Map<String, String> tickets, long validMs) implements PeerMessage {}

    /** One key of a relayed call; an absent value is null. */
    public record RelayedItem(String key, byte[] value, long revision, long lease) {}

    /**
     * A store call that the sender can't make itself; answered by {@link RelayStoreReply}.
     *
     * @param operation name of the call
     * @param key key, prefix or lease
     * @param argument lease, time to live, or the revision after which to watch, as the call needs it
     */
    public record RelayStore(
            String operation,
            String key,
            long argument,
            Map<String, Long> expected,
            List<RelayedItem> writes,
            List<String> removals)
            implements PeerMessage {}

    /**
     * Asks a VM of the same region for the operators' configuration; answered by {@link ConfigReply}.
     *
     * @param afterRevision the answer waits for a later revision, at most {@code waitMs} milliseconds
     */
    public record QueryConfig(long afterRevision, long waitMs) implements PeerMessage {}

    /** The configuration as the store keeps it; an empty value says that there is no later one. */
    public record ConfigReply(String key, byte[] value, long revision) implements PeerMessage {}

    /** Result of a relayed call. */
    public record RelayStoreReply(boolean applied, long revision, List<RelayedItem> items) implements PeerMessage {}
}
