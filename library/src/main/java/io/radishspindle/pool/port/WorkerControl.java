package io.radishspindle.pool.port;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.vavr.control.Either;
import io.vertx.core.Future;

/**
 * Sends orders to workers. Implementations belong to one event loop. The returned futures never fail. After a
 * failure with {@code notRun} false the outcome is unknown: the order may have been executed or may still be. The code
 * {@code PEER_UNREACHABLE} means that the worker's VM closed or refused the connection; a silent one has another code.
 */
public interface WorkerControl {
    /** The worker's answer to an order. */
    enum Answer {
        ACCEPTED,
        /** The worker has received a higher fencing token. */
        FENCED,
        /** The worker has received a later attempt of the task. */
        OUTDATED,
        /** The lease in the order has expired on the worker's clock. */
        TOO_LATE,
        /** The worker lacks the capacity for the run. */
        NO_ROOM,
        /** The ticket is missing or no longer valid. */
        NO_TICKET,
        /** The worker is unhealthy and has not executed the order. */
        UNHEALTHY,
        /** The order itself is malformed. */
        INVALID,
        /** Another incarnation of the worker answered. */
        OTHER_BOOT
    }

    /** Starts a run; {@code leaseEndWorkerMs} is the expiry of the lease on the worker's clock. */
    record StartOrder(
            Run run, String payload, long leaseEndWorkerMs, long fencingToken, String checkpoint, String ticket) {}

    /**
     * Renews the lease on all runs of a worker, acknowledges ends of runs and requests a report: a long poll.
     *
     * @param leaseEndWorkerMs new expiry of the lease on the worker's clock; 0 leaves the lease unchanged
     * @param acknowledged highest sequence number of an end that the worker may drop
     * @param waitMs how long the worker waits for a new end before it answers, in milliseconds; 0 for no wait
     */
    record HoldOrder(long leaseEndWorkerMs, long fencingToken, long acknowledged, long waitMs) {}

    /** An answer with the worker's clock in milliseconds; -1 if the reply did not contain it. */
    record Reply(Answer answer, long clockMs) {}

    /** The worker's report; any answer other than {@code ACCEPTED} is the reason why the call was rejected. */
    record HoldReply(Answer answer, WorkerReport report) {}

    Future<Either<Failure, Reply>> start(WorkerEntry worker, StartOrder order);

    Future<Either<Failure, Reply>> stop(WorkerEntry worker, Run run, long fencingToken);

    Future<Either<Failure, Reply>> pace(WorkerEntry worker, Run run, int percent, long fencingToken);

    /** @param timeLimitMs time for which the answer is waited for, in milliseconds */
    Future<Either<Failure, HoldReply>> hold(WorkerEntry worker, HoldOrder order, long timeLimitMs);
}
