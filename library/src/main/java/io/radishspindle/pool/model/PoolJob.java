package io.radishspindle.pool.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * An accepted job with the policy that was in force when it was accepted. Immutable and thread-safe.
 *
 * @param id chosen by the caller; unique among the jobs of all pools
 * @param payload passed to the worker with each start
 * @param occurrences number of times the steps run, at least 1
 * @param firstStartWallMs Unix milliseconds at which occurrence 0 is due; 0 for immediately
 * @param periodMs milliseconds between occurrences
 * @param acceptedWallMs Unix milliseconds of the first submission, on the clock of the accepting VM
 * @param tenant name of the tenant whose key came with the submission; null if there was none
 * @param address {@link QueuePolicy#address} of the queue; null if an earlier release stored the job, which registers
 *     no ids
 */
public record PoolJob(
        String id,
        String queue,
        String pool,
        String payload,
        List<StepSpec> steps,
        int occurrences,
        long firstStartWallMs,
        long periodMs,
        long acceptedWallMs,
        int priority,
        int maxAttempts,
        double slowdownFactor,
        long objectiveMs,
        @Nullable AdvicePolicy advice,
        @Nullable String tenant,
        @Nullable String address) {
    public PoolJob {
        steps = List.copyOf(steps);
    }

    /** Returns this job assigned to another pool or slice of a pool. */
    public PoolJob inPool(String other) {
        return other.equals(pool)
                ? this
                : new PoolJob(
                        id,
                        queue,
                        other,
                        payload,
                        steps,
                        occurrences,
                        firstStartWallMs,
                        periodMs,
                        acceptedWallMs,
                        priority,
                        maxAttempts,
                        slowdownFactor,
                        objectiveMs,
                        advice,
                        tenant,
                        address);
    }

    /** Whether the id was registered when the job was stored. */
    public boolean hasRegisteredId() {
        return address != null;
    }

    /**
     * Whether the job is of a queue. The address decides, as a new version of the configuration may give the queue
     * another name; the name decides if an earlier release has left out the address.
     */
    public boolean isOfQueue(String name, @Nullable String queueAddress) {
        return address == null || queueAddress == null ? queue.equals(name) : address.equals(queueAddress);
    }
}
