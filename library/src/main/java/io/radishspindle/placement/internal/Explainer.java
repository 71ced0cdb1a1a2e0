package io.radishspindle.placement.internal;

import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import java.util.Locale;

/** Explains in one sentence why a job waits or how it ended. Computed on demand only. Not thread-safe. */
final class Explainer {
    private final Context context;
    private final WorkerTable workers;
    private final Queues queues;

    Explainer(Context context, WorkerTable workers, Queues queues) {
        this.context = context;
        this.workers = workers;
        this.queues = queues;
    }

    JobStatus status(JobState job, long nowMs) {
        boolean runs = job.count(TaskPhase.LIVE) > 0;
        JobStatus.Phase phase = runs ? JobStatus.Phase.RUNNING : JobStatus.Phase.WAITING;
        return status(job, phase, explain(job), nowMs);
    }

    JobStatus finalStatus(JobState job) {
        JobStatus.Phase phase = finalPhase(job);
        return status(job, phase, explainEnd(job, phase), context.nowMs);
    }

    private static JobStatus.Phase finalPhase(JobState job) {
        if (job.count(TaskPhase.SUCCEEDED) == job.spec.tasks()) {
            return JobStatus.Phase.SUCCEEDED;
        }
        if (job.cancelled) {
            return JobStatus.Phase.CANCELLED;
        }
        return job.endPhase == null ? JobStatus.Phase.FAILED : job.endPhase;
    }

    private JobStatus status(JobState job, JobStatus.Phase phase, String explanation, long nowMs) {
        int waiting = job.count(TaskPhase.READY) + job.count(TaskPhase.DELAYED);
        int unreachable = unreachable(job);
        return new JobStatus(
                job.spec.id(),
                "",
                job.spec.team(),
                job.spec.jobClass(),
                phase,
                job.spec.tasks(),
                waiting,
                job.count(TaskPhase.OPEN) + unreachable,
                job.count(TaskPhase.LIVE) - unreachable,
                job.count(TaskPhase.SUCCEEDED),
                job.count(TaskPhase.FAILED),
                job.longestWaitMs(nowMs),
                explanation);
    }

    private static int unreachable(JobState job) {
        return (int) job.live.values().stream()
                .filter(a -> a.worker.condition == WorkerState.Condition.UNREACHABLE)
                .count();
    }

    private String explainEnd(JobState job, JobStatus.Phase phase) {
        String done = job.count(TaskPhase.SUCCEEDED) + " of " + job.spec.tasks() + " tasks succeeded";
        return switch (phase) {
            case SUCCEEDED -> "all " + job.spec.tasks() + " tasks succeeded";
            case CANCELLED -> "cancelled after " + done;
            case SET_ASIDE -> "set aside because " + job.lastProblem;
            default ->
                done + " and " + job.count(TaskPhase.FAILED) + " failed after " + job.totalFailures
                        + " failed attempts; the last: " + job.lastProblem;
        };
    }

    private String explain(JobState job) {
        int live = job.count(TaskPhase.LIVE);
        if (job.isEnding()) {
            return (job.cancelled ? "cancelled" : "ending because " + job.lastProblem) + "; " + live
                    + " tasks are being stopped";
        }
        int ready = job.count(TaskPhase.READY);
        if (ready > 0) {
            return ready + " of " + job.spec.tasks() + " tasks wait: " + explainReadyTasks(job);
        }
        if (job.count(TaskPhase.DELAYED) > 0) {
            return job.count(TaskPhase.DELAYED) + " of " + job.spec.tasks() + " tasks wait to be started again after: "
                    + (job.lastProblem == null ? "a stop or the loss of a worker" : job.lastProblem);
        }
        if (job.count(TaskPhase.OPEN) > 0) {
            return job.count(TaskPhase.OPEN) + " of " + job.spec.tasks()
                    + " tasks may still run on a worker that has not answered since the change of owner";
        }
        return live + " of " + job.spec.tasks() + " tasks run" + describeUnreachable(job);
    }

    private static String describeUnreachable(JobState job) {
        int unreachable = unreachable(job);
        return unreachable == 0 ? "" : ", " + unreachable + " of them on workers that do not answer at present";
    }

    private String explainReadyTasks(JobState job) {
        if (!context.mayStart) {
            return "this VM has no authority over the group's workers at present";
        }
        if (job.isGang() && !job.live.isEmpty()) {
            return "the " + job.live.size() + " running tasks of the job are stopped first, as all start together";
        }
        return explainCapacity(job);
    }

    private String explainCapacity(JobState job) {
        int usable = 0;
        int possible = 0;
        long fitting = 0;
        Resources largestFree = Resources.NONE;
        for (WorkerState worker : workers.all()) {
            if (worker.condition != WorkerState.Condition.LOST && job.demand.fitsIn(worker.info.capacity())) {
                possible++;
            }
            if (worker.isUsable()) {
                usable++;
                fitting += WorkerTable.fitCount(job.demand, worker.free, job.spec.tasks());
                largestFree = closerFit(job.demand, largestFree, worker.free);
            }
        }
        String needs = "each needs " + format(job.demand);
        if (possible == 0) {
            return needs + ", more than any of the " + workers.all().size() + " known workers has";
        }
        if (job.isGang() && fitting < job.count(TaskPhase.READY)) {
            return needs + " and all start together, but there is capacity for " + fitting + " on " + usable
                    + " usable workers";
        }
        if (fitting == 0) {
            return needs + ", the closest of " + usable + " usable workers has " + format(largestFree) + " free"
                    + describeBorrowing(job);
        }
        return needs + "; there is capacity for " + fitting + " on " + usable
                + " usable workers, but it is kept for urgent tasks or reservations, or not yet assigned"
                + describeBorrowing(job);
    }

    private String describeBorrowing(JobState job) {
        double share = queues.team(job.spec.team()).share(context.policy);
        if (share <= 1) {
            return "";
        }
        return String.format(
                Locale.ROOT, "; team %s uses %.1f times its quota, so others go first", job.spec.team(), share);
    }

    /** Returns the one of two free amounts that covers the larger fraction of the demand. */
    private static Resources closerFit(Resources demand, Resources a, Resources b) {
        return ResourceRatios.fitRatio(demand, b) > ResourceRatios.fitRatio(demand, a) ? b : a;
    }

    static String format(Resources r) {
        return String.format(
                Locale.ROOT,
                "%.1f cores, %d MiB and %d accelerators",
                r.milliCores() / 1000.0,
                r.memoryMib(),
                r.accelerators());
    }
}
