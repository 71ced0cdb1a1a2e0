package io.radishspindle.pool.model;

import java.util.List;
import java.util.Optional;

/**
 * One version of the configuration of queues and pools that the operators set. Immutable and thread-safe.
 *
 * @param version increases with each change
 * @param maxBodyBytes largest accepted body of a job submission, in bytes
 * @param tenants {@link TenantDirectory#NONE} if the deployment has no tenants
 */
public record PoolConfig(
        long version, List<QueuePolicy> queues, List<String> pools, int maxBodyBytes, TenantDirectory tenants) {
    public PoolConfig {
        queues = List.copyOf(queues);
        pools = List.copyOf(pools);
    }

    /** Returns the queue of {@code host} with the longest prefix of {@code path}. */
    public Optional<QueuePolicy> queueFor(String host, String path) {
        QueuePolicy best = null;
        for (QueuePolicy queue : queues) {
            boolean longer =
                    best == null || queue.prefix().length() > best.prefix().length();
            if (longer && queue.host().equals(host) && path.startsWith(queue.prefix())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }
}
