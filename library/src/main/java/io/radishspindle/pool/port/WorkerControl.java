package io.radishspindle.pool.port;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.vavr.control.Either;
import io.vertx.core.Future;

/**
 * Orders to workers. Implementations belong to one event loop. The returned futures never fail. A failure with
 * {@code notRun} false leaves open whether the order was or will still be carried out.
 */
public interface WorkerControl {
    /** Answer to an order. */
    enum Answer {
        ACCEPTED,
        /** The worker has seen a higher fencing token. */
        FENCED,
        /** The worker knows a newer run of the task. */
        OUTDATED,
        /** The lease in the order has expired on the worker's clock. */
        TOO_LATE,
        NO_ROOM,
        /** The ticket is missing or no longer valid. */
        NO_TICKET,
        /** The worker is unhealthy and has done nothing. */
        UNHEALTHY,
        /** The order itself is malformed. */
        INVALID,
        /** Another life of the worker answered. */
        OTHER_BOOT
    }

    /** A start; {@code leaseEndWorkerMs} is a time on the worker's clock. */
    record StartOrder(
            Run run, String payload, long leaseEndWorkerMs, long fencingToken, String checkpoint, String ticket) {}

    /**
     * Renews the lease of all runs, acknowledges ends and asks for the lists.
     *
     * @param leaseEndWorkerMs time on the worker's clock; 0 leaves the lease as it is
     * @param waitMs how long the answer waits for a new end, in milliseconds; 0 for not at all
     */
    record HoldOrder(long leaseEndWorkerMs, long fencingToken, long acknowledged, long waitMs) {}

    /** An answer with the worker's clock in milliseconds; -1 if the answer did not carry it. */
    record Reply(Answer answer, long clockMs) {}

    /** Lists of the worker, or the reason why the call was rejected. */
    record HoldReply(Answer answer, WorkerReport report) {}

    Future<Either<Failure, Reply>> start(WorkerEntry worker, StartOrder order);

    Future<Either<Failure, Reply>> stop(WorkerEntry worker, Run run, long fencingToken);

    Future<Either<Failure, Reply>> pace(WorkerEntry worker, Run run, int percent, long fencingToken);

    Future<Either<Failure, HoldReply>> hold(WorkerEntry worker, HoldOrder order);
}
