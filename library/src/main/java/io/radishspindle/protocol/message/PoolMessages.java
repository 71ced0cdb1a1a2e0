package io.radishspindle.protocol.message;

import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.protocol.PeerMessage;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Messages about pools. All are immutable records and thread-safe. */
public final class PoolMessages {
    private PoolMessages() {}

    /**
     * Notifies the owner of a pool that a job has been stored; if it is lost, the owner's watch finds the job.
     *
     * @param claim fencing token of the claim on the pool that was in force when the job was stored; 0 if there was
     *     none, or if the sender is of an earlier release
     */
    public record JobStored(PoolJob job, long claim) implements PeerMessage {}

    /** Notifies the owner of a pool that the cancellation of a job has been stored. */
    public record CancelStored(String pool, String jobId) implements PeerMessage {}

    /** Queries the owner for the state of a job; the reply is {@link PoolJobState}. */
    public record QueryPoolJob(String pool, String jobId) implements PeerMessage {}

    /**
     * State of a job.
     *
     * @param phase name of a {@link io.radishspindle.pool.model.JobPhase}; empty if the job is unknown to the owner
     * @param tenant null if the job has none, or if the owner is of an earlier release
     */
    public record PoolJobState(String phase, @Nullable String tenant) implements PeerMessage {}

    /**
     * Queries the owner for the number of jobs of a queue without a started task; the reply is {@link PendingJobs}.
     *
     * @param address address of the queue; null if the sender is of an earlier release
     */
    public record QueryPending(String pool, String queue, @Nullable String address) implements PeerMessage {}

    /**
     * Number of jobs without a started task.
     *
     * @param count negative if the sender doesn't know
     * @param ageMs how long ago the sender last knew all accepted jobs, in milliseconds; 0 from an older release
     */
    public record PendingJobs(int count, long ageMs) implements PeerMessage {}

    /** Queries whether the receiver owns a pool; the reply is {@link PoolPong}. */
    public record PoolPing(String pool) implements PeerMessage {}

    /**
     * Reply to a {@link PoolPing}.
     *
     * @param owner whether the sender owns the pool or has a claim on it in flight
     * @param notOwnerForMs milliseconds since it last owned the pool or since its process was started; 0 from an
     *     earlier release
     */
    public record PoolPong(boolean owner, long notOwnerForMs) implements PeerMessage {}

    /** Requests a call of the advice service on behalf of the sender; the reply is {@link AdviceReply}. */
    public record RequestAdvice(String step, List<String> workers, long expectedMs) implements PeerMessage {}

    /** Tickets by worker id, with their validity in milliseconds. */
    public record AdviceReply(Map<String, String> tickets, long validMs) implements PeerMessage {}

    /** One key of a relayed store call; the value is null if the key does not exist. */
    public record RelayedItem(String key, byte[] value, long revision, long lease) {}

    /**
     * A store call that the receiver makes for a sender that can't reach the store itself; the reply is
     * {@link RelayStoreReply}.
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
     * Requests the operators' configuration from a VM of the same region; the reply is {@link ConfigReply}.
     *
     * @param afterRevision the reply is delayed until there is a later revision, or until the receiver knows as of a
     *     later time that there is none, by at most {@code waitMs} milliseconds
     * @param knownAgeMs how long ago the store is known to the sender to have had no later revision, in milliseconds;
     *     null if the sender is of an earlier release, which reads neither ages nor compressed values
     */
    public record QueryConfig(long afterRevision, long waitMs, @Nullable Long knownAgeMs) implements PeerMessage {}

    /**
     * The configuration as stored; the value is empty if there is no later revision.
     *
     * @param knownAfterMs time at which the store had no later revision, in milliseconds after the arrival of the
     *     query; negative if it was before; null if the sender is of an earlier release: its knowledge may be 1.8 s old
     * @param compressed whether the value is in the zlib format
     */
    public record ConfigReply(String key, byte[] value, long revision, @Nullable Long knownAfterMs, boolean compressed)
            implements PeerMessage {}

    /** Result of a relayed store call. */
    public record RelayStoreReply(boolean applied, long revision, List<RelayedItem> items) implements PeerMessage {}
}
