package io.radishspindle.pool.core;

import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.JobProgress.StepProgress;
import io.radishspindle.pool.model.PoolJob;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/** A job that its pool's owner knows. Belongs to its scheduler; not thread-safe. */
final class JobState {
    /** Workers that one call for advice names in the objective of a job. */
    private static final int ADVISED_WORKERS = 30;
    /** Beyond this multiple of the objective a job has no value left and runs last. */
    private static final int WORTHLESS_FACTOR = 3;
    /** Lateness of a job that has no value left. */
    static final int WORTHLESS = 2;
    /** An objective counts as missed only when it is by this share of it, since estimates are rough. */
    private static final double MISS_MARGIN = 0.1;

    final PoolJob job;
    final List<StepState> steps = new ArrayList<>();
    /** Known before this owner took over, so that an earlier owner may have started its tasks. */
    final boolean inherited;

    JobPhase phase = JobPhase.QUEUED;
    /** Phase that may be told to callers: final phases only once they are durable. */
    JobPhase durablePhase = JobPhase.QUEUED;

    long endedWallMs;
    private final long chainMs;

    JobState(PoolJob job, boolean inherited) {
        this.job = job;
        this.inherited = inherited;
        for (int k = 0; k < job.occurrences(); k++) {
            for (int i = 0; i < job.steps().size(); i++) {
                steps.add(new StepState(this, k, i, job.steps().get(i)));
            }
        }
        chainMs = chainMs();
    }

    StepState step(int occurrence, int index) {
        return steps.get(occurrence * job.steps().size() + index);
    }

    boolean isOpen() {
        return !phase.isFinal();
    }

    boolean isReleased(StepState step, long wallMs) {
        if (job.firstStartWallMs() > 0 && wallMs < dueWallMs(step.occurrence)) {
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

    /** Milliseconds left until the objective is missed if everything that remains runs as estimated. */
    long slackMs(StepState step, long wallMs) {
        return dueWallMs(step.occurrence) + objectiveMs() - wallMs - remainingChainMs(step);
    }

    /** 0 while the objective can be met, 1 when it can't, {@link #WORTHLESS} when no value is left. */
    int lateness(StepState step, long wallMs) {
        long objectiveMs = objectiveMs();
        long ageMs = wallMs - dueWallMs(step.occurrence);
        if (ageMs + remainingChainMs(step) > WORTHLESS_FACTOR * objectiveMs) {
            return WORTHLESS;
        }
        return slackMs(step, wallMs) < -MISS_MARGIN * objectiveMs ? 1 : 0;
    }

    private long remainingChainMs(StepState step) {
        long longest = 0;
        for (int i = step.index + 1; i < job.steps().size(); i++) {
            if (job.steps().get(i).after().contains(step.index)) {
                longest = Math.max(longest, remainingChainMs(step(step.occurrence, i)));
            }
        }
        return longest + stepMs(step.index);
    }

    private long chainMs() {
        long[] ends = new long[job.steps().size()];
        long longest = 0;
        for (int i = 0; i < ends.length; i++) {
            long start = 0;
            for (int earlier : job.steps().get(i).after()) {
                start = Math.max(start, ends[earlier]);
            }
            ends[i] = start + stepMs(i);
            longest = Math.max(longest, ends[i]);
        }
        return longest;
    }

    private long stepMs(int index) {
        long adviceMs = job.advice() == null ? 0 : job.advice().callMs(ADVISED_WORKERS);
        return job.steps().get(index).estimateMs() + adviceMs;
    }

    /** Times of the steps and the objective, for the log. */
    String timeline() {
        StringBuilder text = new StringBuilder("objective:").append(objectiveMs());
        long zeroMs = steps.stream()
                .mapToLong(step -> step.firstReadyMs)
                .filter(ms -> ms >= 0)
                .findFirst()
                .orElse(0);
        for (StepState step : steps) {
            text.append(' ').append(step.tasks.size()).append(':');
            text.append(sinceMs(zeroMs, step.firstReadyMs)).append('/');
            text.append(sinceMs(zeroMs, step.lastFirstStartMs)).append('/');
            text.append(sinceMs(zeroMs, step.doneAtMs));
        }
        return text.toString();
    }

    /** What happened under an earlier owner has no time here. */
    private static String sinceMs(long zeroMs, long ms) {
        return ms < 0 ? "-" : Long.toString(ms - zeroMs);
    }

    private long objectiveMs() {
        return (long) (job.slowdownFactor() * chainMs) + job.objectiveMs();
    }

    /** What must be written so that another owner can continue. */
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
                list.add(new StepProgress(step.occurrence, step.index, done.toLongArray(), step.highestAttempt, pairs));
            }
        }
        return new JobProgress(phase, endedWallMs, list);
    }

    /** Takes over what an earlier owner has written. */
    void restore(JobProgress progress) {
        phase = progress.phase();
        durablePhase = progress.phase();
        endedWallMs = progress.endedWallMs();
        for (StepProgress saved : progress.steps()) {
            StepState step = step(saved.occurrence(), saved.step());
            step.highestAttempt = saved.highestAttempt();
            step.tasks.forEach(task -> task.attempts = saved.highestAttempt() + PoolTiming.ATTEMPT_GAP);
            BitSet.valueOf(saved.done()).stream().forEach(index -> {
                step.tasks.get(index).done = true;
                step.doneTasks++;
            });
            for (int i = 0; i + 1 < saved.failures().length; i += 2) {
                step.tasks.get(saved.failures()[i]).failedAttempts.add(saved.failures()[i + 1]);
            }
        }
    }
}
