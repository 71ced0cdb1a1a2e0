package io.radishspindle.platform;

import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskOutcome;
import io.radishspindle.model.WorkerInfo;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;

/**
 * The control interface of workers. Implementations are thread-safe. The returned futures never fail.
 *
 * <p>One message serves as claim, heartbeat, lease renewal and batch of commands, so that its cost is per worker and
 * not per task.
 */
public interface WorkerClient {
    /** What a message is allowed to change. */
    enum Mode {
        /** Becomes the holder with a higher epoch or term; extends no lease. */
        CLAIM,
        /** Renews control and run lease; may start and stop tasks. */
        CONTROL,
        /** Renews the run lease only; used by a caretaker. */
        RENEW
    }

    /**
     * A start command.
     *
     * @param expectedRunMs declared run time in milliseconds; 0 for a task that runs until it is stopped
     */
    record Start(TaskAttempt attempt, Resources resources, long expectedRunMs, Map<String, String> parameters) {}

    /** How a running task is changed. */
    enum Command {
        STOP,
        CHECKPOINT_AND_STOP,
        THROTTLE,
        UNTHROTTLE
    }

    /** A command for a running task. */
    record Order(TaskAttempt attempt, Command command) {}

    /**
     * A control message.
     *
     * @param epoch epoch of the ownership record
     * @param term 0 for an owner, higher for successive caretakers within the epoch
     * @param holder id of the sending entry VM
     * @param sequence increases with each message of this holder; an older message is refused
     * @param echoedWorkerTimeMs {@link ControlReply#workerTimeMs} of the last reply received; both leases are counted
     *     from it, so that a delayed message can't extend a lease; 0 in a claim, which extends no lease
     * @param controlLeaseMs how long starts are accepted after the echoed time
     * @param runLeaseMs how long tasks may run after the echoed time
     * @param acknowledged finished attempts that the worker may forget
     */
    record ControlRequest(
            Mode mode,
            long epoch,
            long term,
            String holder,
            long sequence,
            long echoedWorkerTimeMs,
            long controlLeaseMs,
            long runLeaseMs,
            List<Start> starts,
            List<Order> orders,
            List<TaskAttempt> acknowledged) {}

    /** A running task with its usage, which lags behind. */
    record Running(TaskAttempt attempt, Resources reserved, Resources used, long runningMs) {}

    /** A finished attempt that has not been acknowledged. */
    record Finished(TaskAttempt attempt, TaskOutcome outcome, String detail) {}

    /** A start that was not carried out. */
    record Refused(TaskAttempt attempt, String reason) {}

    /**
     * Answer of a worker.
     *
     * @param workerTimeMs the worker's own monotonic clock when it handled the message, in milliseconds
     * @param accepted false if epoch, term or sequence were too low; nothing was changed then
     * @param epoch highest epoch that the worker has seen
     * @param term highest term of that epoch
     * @param holder holder of that epoch and term
     * @param running all running tasks in answer to a claim, otherwise those whose usage has changed
     * @param leaving the worker must not get new work
     */
    record ControlReply(
            boolean accepted,
            long workerTimeMs,
            long epoch,
            long term,
            String holder,
            List<Running> running,
            List<Finished> finished,
            List<Refused> refused,
            boolean leaving) {}

    /**
     * Sends a control message. A failure with {@code notRun} true means that the message did not reach the worker.
     *
     * @param timeoutMs how long to wait for the answer
     */
    Future<Either<Failure, ControlReply>> control(WorkerInfo worker, ControlRequest request, long timeoutMs);
}
