package io.radishspindle.pool.core;

import java.util.List;
import java.util.Map;

/**
 * Decides whether a run failed because of its worker or because of its task, and suspends workers that fail. A task
 * that fails on other workers too says nothing of a worker, also in hindsight. Belongs to its scheduler; not
 * thread-safe.
 *
 * <p>Invariant: at most {@link #MAX_SUSPENDED_SHARE} of the workers, or one, are suspended or on probation.
 */
final class FailureAttribution {
    /** Largest share of a pool's workers that is kept closed for failures; beyond it, more than workers is at fault. */
    static final double MAX_SUSPENDED_SHARE = 0.35;

    private final Map<String, WorkerState> workers;
    private final List<PoolAction> actions;

    FailureAttribution(Map<String, WorkerState> workers, List<PoolAction> actions) {
        this.workers = workers;
        this.actions = actions;
    }

    void onSucceeded(RunState run, StepState step, double relativeDuration) {
        step.outcomes.onSucceeded(run.worker.id());
        run.worker.health.onSuccess(relativeDuration, run.sentAtMs);
    }

    /** A report contains the run. */
    void onPresent(RunState run, long nowMs) {
        WorkerHealth health = run.worker.health;
        if (health.isOnProbation() && run.acceptedAtMs >= 0 && nowMs - run.acceptedAtMs >= health.probeMs()) {
            health.onProven(run.sentAtMs);
        }
    }

    void onFailed(RunState run, StepState step, long nowMs) {
        WorkerState worker = run.worker;
        WorkerHealth health = worker.health;
        boolean stepIsToBlame = health.outlivedFailureOf(step, worker.id())
                || step.failsElsewhere(worker.id(), nowMs - run.sentAtMs, nowMs);
        step.outcomes.onFailed(worker.id(), run.sentAtMs);
        reviewOthers(step, worker, nowMs);
        if (stepIsToBlame) {
            return;
        }
        health.onFailure(step, run.sentAtMs, nowMs);
        if (health.isProbe(run.sentAtMs) || health.isFailing(worker.id(), nowMs)) {
            suspend(worker, "fails tasks that don't fail elsewhere", nowMs);
        }
    }

    /** A worker has refused a start and called itself unhealthy. */
    void onRefused(WorkerState worker, long nowMs) {
        WorkerHealth health = worker.health;
        health.onRefused(nowMs);
        if (health.isOnProbation() || health.isFailing(worker.id(), nowMs)) {
            suspend(worker, "refuses starts", nowMs);
        }
    }

    /** A run uses no processor time; returns whether its worker is to blame, so that it should run elsewhere. */
    boolean onStalled(RunState run, StepState step, long nowMs) {
        WorkerState worker = run.worker;
        step.outcomes.onFailed(worker.id(), run.sentAtMs);
        reviewOthers(step, worker, nowMs);
        if (step.failsElsewhere(worker.id(), 0, nowMs)) {
            return false;
        }
        if (mayClose(worker)) {
            worker.health.suspendForStall(step, run.sentAtMs, nowMs);
            actions.add(new PoolAction.WorkerChanged(worker.id(), "suspended", "task is stalled"));
        }
        return true;
    }

    /** Workers that are closed for failures of the step may be sound, as it has failed elsewhere now. */
    private void reviewOthers(StepState step, WorkerState failed, long nowMs) {
        for (String id : step.outcomes.workers()) {
            WorkerState other = workers.get(id);
            if (other != null && other != failed && other.health.reinstate(id, nowMs)) {
                actions.add(new PoolAction.WorkerChanged(id, "reinstated", "its tasks fail elsewhere too"));
            }
        }
    }

    private void suspend(WorkerState worker, String reason, long nowMs) {
        if (!mayClose(worker)) {
            return;
        }
        if (!worker.health.isOnProbation()) {
            actions.add(new PoolAction.WorkerChanged(worker.id(), "suspended", reason));
        }
        worker.health.suspend(nowMs);
    }

    private boolean mayClose(WorkerState worker) {
        long closed = 0;
        long listed = 0;
        for (WorkerState other : workers.values()) {
            listed += other.listed ? 1 : 0;
            closed += other != worker && other.listed && other.health.isOnProbation() ? 1 : 0;
        }
        return closed < Math.max(1, (long) (MAX_SUSPENDED_SHARE * listed));
    }
}
