package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;
import io.radishspindle.placement.PlacementAction;
import io.radishspindle.platform.WorkerClient.Command;

/**
 * Reacts to attempts that use more than is charged for them: the charge is raised while the worker has free capacity;
 * otherwise batch tasks are throttled (processors) or stopped (memory). Not thread-safe.
 */
final class OveruseHandler {
    private final Context context;
    private final Ledger ledger;
    private final AttemptStopper stopper;

    OveruseHandler(Components components) {
        this.context = components.context;
        this.ledger = components.ledger;
        this.stopper = components.stopper;
    }

    void onUsage(Attempt attempt, Resources used) {
        if (attempt.missingMilliCores > 0) {
            unthrottle(attempt);
        }
        Resources needed = Family.max(attempt.charged, new Resources(used.milliCores(), used.memoryMib(), 0));
        if (needed.equals(attempt.charged)) {
            return;
        }
        Resources free = attempt.worker.free;
        Resources raise = needed.minus(attempt.charged);
        Resources granted = new Resources(
                Math.max(0, Math.min(raise.milliCores(), free.milliCores())),
                Math.max(0, Math.min(raise.memoryMib(), free.memoryMib())),
                0);
        if (!granted.equals(Resources.NONE)) {
            ledger.raise(attempt, attempt.charged.plus(granted));
        }
        if (!granted.equals(raise)) {
            restrain(attempt, raise.minus(granted));
        }
    }

    private void restrain(Attempt attempt, Resources missing) {
        JobState job = attempt.job;
        boolean batch = job != null && job.spec.jobClass() == JobClass.BATCH;
        if (!batch || attempt.isStopping()) {
            return;
        }
        if (missing.memoryMib() > 0) {
            stopper.stop(attempt, StopReason.OVERUSE);
        } else if (attempt.missingMilliCores == 0 && context.mayStart) {
            attempt.missingMilliCores = missing.milliCores();
            String reason = "uses " + missing.milliCores() + " milli-cores more than its worker has left";
            context.emit(new PlacementAction.CommandTask(attempt.id, attempt.worker.id, Command.THROTTLE, reason));
        }
    }

    /** Lifts the throttle when the worker has enough free cores for what the attempt lacked. */
    private void unthrottle(Attempt attempt) {
        if (attempt.worker.free.milliCores() < attempt.missingMilliCores || !context.mayStart) {
            return;
        }
        ledger.raise(attempt, attempt.charged.plus(new Resources(attempt.missingMilliCores, 0, 0)));
        attempt.missingMilliCores = 0;
        String reason = "its worker has free capacity again";
        context.emit(new PlacementAction.CommandTask(attempt.id, attempt.worker.id, Command.UNTHROTTLE, reason));
    }
}
