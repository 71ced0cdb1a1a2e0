package io.radishspindle.pool.runtime;

import io.radishspindle.pool.model.PoolConfig;
import io.radishspindle.pool.model.WorkerEntry;
import java.util.Optional;

/**
 * Decodes the entries that workers and operators keep in the shared store. Implementations are stateless and
 * thread-safe.
 */
public interface PlatformCodec {
    /** Prefix of the keys under which workers register. */
    String workerPrefix();

    /** Key of the operators' configuration. */
    String configKey();

    /** Decodes a worker's entry; empty if it can't be decoded, which the implementation logs. */
    Optional<WorkerEntry> worker(String key, byte[] value);

    /** Decodes the configuration; empty if it can't be decoded, which the implementation logs. */
    Optional<PoolConfig> config(byte[] value);
}
