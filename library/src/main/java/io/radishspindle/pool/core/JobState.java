package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.JobProgress.StepProgress;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.TaskCrashes;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** The state of a job at the owner of its pool. Belongs to its scheduler; not thread-safe. */
final class JobState {
    /** A job that will exceed its objective by this factor has expired and is scheduled last. */
    private static final int EXPIRY_FACTOR = 3;
    /** Lateness of an expired job. */
    static final int EXPIRED = 2;
    /** Share of the objective by which a job may be late before it counts as late, since estimates are rough. */
    private static final double MISS_MARGIN = 0.1;

    final PoolJob job;
    final List<StepState> steps = new ArrayList<>();
    /** Loaded at the takeover, so that an earlier owner may have started its tasks. */
    final boolean inherited;

    /** Arrived beyond the weight of its tenant. */
    boolean excess;

    JobPhase phase = JobPhase.QUEUED;
    /** Phase that may be reported to callers: a final phase is set only once it is durable. */
    JobPhase durablePhase = JobPhase.QUEUED;

    long endedWallMs;
    private final JobChains chains;

    JobState(PoolJob job, boolean inherited, DurationStats durations) {
        this.job = job;
        this.inherited = inherited;
        for (int k = 0; k < job.occurrences(); k++) {
            for (int i = 0; i < job.steps().size(); i++) {
                steps.add(new StepState(this, k, i, job.steps().get(i)));
            }
        }
        chains = new JobChains(this, durations);
    }

    StepState step(int occurrence, int index) {
        return steps.get(occurrence * job.steps().size() + index);
    }

    boolean isUnfinished() {
        return !phase.isFinal();
    }

    /** Whether the time of the step's occurrence has come. */
    boolean isDue(StepState step, long wallMs) {
        return job.firstStartWallMs() <= 0 || wallMs >= dueWallMs(step.occurrence);
    }

    boolean isRunnable(StepState step, long wallMs) {
        if (!isDue(step, wallMs)) {
            return false;
        }
        for (int earlier : step.spec.after()) {
            if (!step(step.occurrence, earlier).isDone()) {
                return false;
            }
        }
        return true;
    }

    private long dueWallMs(int occurrence) {
        return job.firstStartWallMs() > 0 ? job.firstStartWallMs() + occurrence * job.periodMs() : job.acceptedWallMs();
    }

    /** Milliseconds by which the job would beat its objective if its remaining steps run as expected. */
    long slackMs(StepState step, long wallMs) {
        return dueWallMs(step.occurrence) + objectiveMs(step.occurrence) - wallMs - chains.remainingMs(step);
    }

    /** Returns 0 while the objective can be met, 1 if it can't, and {@link #EXPIRED} if the job has expired. */
    int lateness(StepState step, long wallMs) {
        long objectiveMs = objectiveMs(step.occurrence);
        long ageMs = wallMs - dueWallMs(step.occurrence);
        if (ageMs + chains.leastRemainingMs(step) > EXPIRY_FACTOR * objectiveMs) {
            return EXPIRED;
        }
        return slackMs(step, wallMs) < -MISS_MARGIN * objectiveMs ? 1 : 0;
    }

    /** Returns the objective and the times of the steps, for the log. */
    String timeline() {
        StringBuilder text = new StringBuilder("objective:").append(objectiveMs(0));
        long originMs = steps.stream()
                .mapToLong(step -> step.firstReadyMs)
                .filter(ms -> ms >= 0)
                .findFirst()
                .orElse(0);
        for (StepState step : steps) {
            text.append(' ').append(step.tasks.size()).append(':');
            text.append(sinceMs(originMs, step.firstReadyMs)).append('/');
            text.append(sinceMs(originMs, step.lastFirstStartMs)).append('/');
            text.append(sinceMs(originMs, step.doneAtMs));
        }
        return text.toString();
    }

    /** Formats a time relative to the origin; "-" for an event under an earlier owner, whose time is unknown. */
    private static String sinceMs(long originMs, long ms) {
        return ms < 0 ? "-" : Long.toString(ms - originMs);
    }

    private long objectiveMs(int occurrence) {
        return (long) (job.slowdownFactor() * chains.longestMs(occurrence)) + job.objectiveMs();
    }

    /** Returns the progress that another owner needs to continue the job. */
    JobProgress progress() {
        if (phase.isFinal()) {
            return new JobProgress(phase, endedWallMs, List.of());
        }
        List<StepProgress> list = new ArrayList<>();
        for (StepState step : steps) {
            BitSet done = new BitSet();
            List<Integer> failures = new ArrayList<>();
            for (TaskState task : step.tasks) {
                if (task.done) {
                    done.set(task.name.index());
                }
                for (int attempt : task.failedAttempts) {
                    failures.add(task.name.index());
                    failures.add(attempt);
                }
            }
            if (step.highestAttempt > 0) {
                int[] pairs = failures.stream().mapToInt(Integer::intValue).toArray();
                list.add(new StepProgress(
                        step.occurrence, step.index, done.toLongArray(), step.highestAttempt, pairs, crashes(step)));
            }
        }
        return new JobProgress(phase, endedWallMs, list);
    }

    private static List<TaskCrashes> crashes(StepState step) {
        if (!step.hasCrashRecords) {
            return List.of();
        }
        return units(step).stream()
                .filter(task -> !task.done)
                .flatMap(task -> task.crashRecord().progress(task.name.index()).stream())
                .toList();
    }

    /** The tasks that have a crash record of their own: the first of a gang, otherwise all. */
    static List<TaskState> units(StepState step) {
        return step.spec.gang() ? step.tasks.subList(0, 1) : step.tasks;
    }

    /** Applies that progress has become durable; newer progress may be unwritten. */
    void onDurable(JobProgress progress) {
        for (StepProgress saved : progress.steps()) {
            StepState step = step(saved.occurrence(), saved.step());
            for (TaskCrashes crashes : saved.crashes()) {
                step.tasks.get(crashes.task()).crashRecord().onDurable(crashes.exposure());
            }
        }
    }

    /** Restores the progress that an earlier owner has written. */
    void restore(JobProgress progress) {
        phase = progress.phase();
        durablePhase = progress.phase();
        endedWallMs = progress.endedWallMs();
        for (StepProgress saved : progress.steps()) {
            StepState step = step(saved.occurrence(), saved.step());
            step.highestAttempt = saved.highestAttempt();
            step.tasks.forEach(task -> task.lastAttempt = saved.highestAttempt() + PoolTiming.ATTEMPT_GAP);
            BitSet.valueOf(saved.done()).stream().forEach(index -> {
                step.tasks.get(index).done = true;
                step.doneTasks++;
            });
            for (int i = 0; i + 1 < saved.failures().length; i += 2) {
                step.tasks.get(saved.failures()[i]).failedAttempts.add(saved.failures()[i + 1]);
            }
            for (TaskCrashes crashes : saved.crashes()) {
                step.hasCrashRecords = true;
                step.tasks.get(crashes.task()).crashRecord().restore(crashes);
            }
            if (step.hasCrashRecords) {
                // A trial may start before it is stored; the next owner has to skip its number too.
                step.highestAttempt += PoolTiming.ATTEMPT_GAP;
            }
        }
    }

    /** Whether workers have crashed under a task that has not ended. */
    boolean hasCrashRecords() {
        return steps.stream().anyMatch(step -> step.hasCrashRecords && !step.isDone());
    }
}
