package io.radishspindle.pool.runtime;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.port.SharedStore.Item;
import io.vavr.control.Try;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.tinylog.Logger;

/** Encodes the values that entry VMs keep in the shared store as MessagePack. Stateless; thread-safe. */
final class Records {
    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory()).disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * Entry of a VM: its address and properties.
     *
     * @param strength capacity to own pools: processor cores, reduced if the network link is slow
     * @param draining the VM is about to stop; it claims no pools and gets no requests
     */
    record Member(
            String host, int port, String dataCentre, String region, String boot, double strength, boolean draining) {}

    /** The VM that owns a pool; {@code boot} identifies the incarnation that claimed it. */
    record Owner(String vmId, String boot) {}

    /**
     * Record of a claim, which outlasts it.
     *
     * @param replaced revision of the claim that it replaced; 0 if there was none
     * @param recoveredToken fencing token of the claim once its owner has completed its recovery; 0 until then, as the
     *     revision of the item is the token
     */
    record Claim(String vmId, long replaced, long recoveredToken) {}

    /**
     * Replaces the item of a job that has ended, so that a new owner has little to read for it. Encoded as an array, so
     * that new fields may be added at the end only.
     *
     * @param tenant null if the job has none, or if an earlier release wrote the item
     * @param endedWallMs Unix milliseconds; 0 if an earlier release wrote the item
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record EndedJob(JobPhase phase, @Nullable String tenant, long endedWallMs) {}

    /** The tenant of a stored job that has not ended, read without its other fields. */
    private record JobTenant(@Nullable String tenant) {}

    /** The claim on the pool when an unfinished job was stored, read without the job. */
    private record JobClaim(long claim) {}

    /** Number of slices of a pool. */
    record Slices(int count) {}

    /**
     * Registers the id of a job, which may be submitted only once in all pools.
     *
     * @param slice slice of the pool that holds the job
     * @param address address of the queue through which the job was submitted; null if an earlier release stored it
     * @param tenant null if the job has none
     */
    record Registration(String slice, @Nullable String address, @Nullable String tenant) {
        static Registration of(PoolJob job) {
            return new Registration(job.pool(), job.address(), job.tenant());
        }
    }

    /** Marks a slice as one that has got jobs of a queue. */
    record QueueSlice(String address) {}

    /** A worker that has answered an owner of its pool. */
    record Worker(
            String host,
            int port,
            String dataCentre,
            String rack,
            long bootWallMs,
            long milliCores,
            long memoryMib,
            int accelerators,
            List<String> labels) {}

    private Records() {}

    static byte[] encode(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Encodes an unfinished job.
     *
     * @param claim fencing token of the claim on its pool on which the write is conditional; 0 for no claim
     */
    static byte[] encode(PoolJob job, long claim) {
        ObjectNode fields = MAPPER.valueToTree(job);
        return encode(fields.put("claim", claim));
    }

    /** Claim under which an unfinished job was stored; 0 if there was none or an earlier release stored it. */
    static long claimOfJob(String key, byte[] value) {
        return isEndedJob(value)
                ? 0
                : decode(key, value, JobClaim.class).map(JobClaim::claim).getOrElse(0L);
    }

    /** Whether the value of a job's key is an {@link EndedJob}; unfinished jobs are encoded as maps, not arrays. */
    static boolean isEndedJob(byte[] value) {
        return value.length > 0 && MessagePack.Code.isFixedArray(value[0]);
    }

    /** Tenant in the value of a job's key, ended or not; empty if it has none or can't be decoded, which is logged. */
    static Optional<String> tenantOfJob(String key, byte[] value) {
        return isEndedJob(value)
                ? decode(key, value, EndedJob.class).toJavaOptional().map(EndedJob::tenant)
                : decode(key, value, JobTenant.class).toJavaOptional().map(JobTenant::tenant);
    }

    /** Decodes a registration; empty if the item has no value or can't be decoded, which is logged. */
    static Optional<Registration> registration(Item item) {
        byte[] value = item.value();
        return value == null
                ? Optional.empty()
                : decode(item.key(), value, Registration.class).toJavaOptional();
    }

    private static <T> T requireValue(@Nullable T value) throws IOException {
        if (value == null) {
            throw new IOException("the value is nil");
        }
        return value;
    }

    /** Decodes a value; a failure is logged with the key and returned. */
    static <T> Try<T> decode(String key, byte[] bytes, Class<T> type) {
        return Try.of(() -> requireValue(MAPPER.readValue(bytes, type)))
                .onFailure(e -> Logger.warn(
                        "event=value-unreadable key={} type={} error=\"{}\"",
                        key,
                        type.getSimpleName(),
                        e.getMessage()));
    }
}
