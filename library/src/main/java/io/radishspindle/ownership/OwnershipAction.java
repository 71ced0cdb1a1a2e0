package io.radishspindle.ownership;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.WorkerClient;
import io.vavr.control.Either;

/** What the ownership core wants done. Actions are immutable and thread-safe. */
public sealed interface OwnershipAction {
    /** Read a key of the store. */
    record ReadKey(long call, String key) implements OwnershipAction {}

    /** Read all keys with a prefix. */
    record ListKeys(long call, String prefix) implements OwnershipAction {}

    /** Write a key by compare-and-swap. */
    record WriteKey(long call, String key, byte[] value, long expectedVersion) implements OwnershipAction {}

    /**
     * Send a control message to a worker.
     *
     * @param notAfterMs the sender reads its clock immediately before sending and drops the message, as not sent, if
     *     the clock is past this value: the VM was paused and its authority may have lapsed
     * @param timeoutMs how long to wait for the answer
     */
    record SendControl(
            long call, WorkerInfo worker, WorkerClient.ControlRequest request, long notAfterMs, long timeoutMs)
            implements OwnershipAction {}

    /** Answer a submission or cancellation. */
    record Answer(long request, Either<Failure, JobStatus> result) implements OwnershipAction {}
}
