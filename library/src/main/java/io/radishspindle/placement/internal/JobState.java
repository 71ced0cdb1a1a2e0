package io.radishspindle.placement.internal;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskId;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * A job and the state of its tasks. Not thread-safe.
 *
 * <p>Invariants: each task is in exactly one phase and {@code counts} holds the number of tasks per phase; a task
 * is in phase {@code LIVE} if and only if {@code live} holds its attempt.
 */
final class JobState {
    final JobSpec spec;
    /** Order of acceptance within the group. */
    final long sequence;

    final long acceptedAtMs;
    final Family family;
    final Map<Integer, Attempt> live = new HashMap<>();
    final BitSet ready = new BitSet();
    final int[] failures;
    private final TaskPhase[] phases;
    private final int[] counts = new int[TaskPhase.values().length];
    private final int[] attemptNumbers;
    private final BitSet started = new BitSet();
    private final Map<String, Integer> perRack = new HashMap<>();
    private long attemptNumbersEpoch = -1;
    private long longestStartWaitMs;
    /** Charged per task; the declared size, or more if the family is known to use more. */
    Resources demand;

    int totalFailures;
    int retriesUsed;
    boolean cancelled;
    /** Final phase of a job that can't succeed any more, set while its remaining attempts are being stopped. */
    JobStatus.@Nullable Phase endPhase;

    /** Value of {@link Ledger#freedVersion} when the gang was found not to fit; -1 if it has to be tried. */
    long noFitAtVersion = -1;

    @Nullable
    Bucket bucket;

    @Nullable
    String failedOnWorker;

    @Nullable
    String lastProblem;

    JobState(JobSpec spec, Family family, long sequence, long acceptedAtMs) {
        this.spec = spec;
        this.family = family;
        this.sequence = sequence;
        this.acceptedAtMs = acceptedAtMs;
        this.demand = spec.perTask();
        this.failures = new int[spec.tasks()];
        this.attemptNumbers = new int[spec.tasks()];
        this.phases = new TaskPhase[spec.tasks()];
        Arrays.fill(phases, TaskPhase.DELAYED);
        counts[TaskPhase.DELAYED.ordinal()] = spec.tasks();
    }

    /** Expected run time of a task; services run for ever. */
    long expectedRunMs() {
        return spec.jobClass() == JobClass.SERVICE ? Long.MAX_VALUE : family.expectedRunMs(spec);
    }

    boolean isGang() {
        return spec.jobClass() == JobClass.ALL_AT_ONCE;
    }

    boolean isEnding() {
        return cancelled || endPhase != null;
    }

    TaskPhase phase(int index) {
        return phases[index];
    }

    int count(TaskPhase phase) {
        return counts[phase.ordinal()];
    }

    boolean isFinished() {
        return count(TaskPhase.SUCCEEDED) + count(TaskPhase.FAILED) + count(TaskPhase.CANCELLED) == spec.tasks();
    }

    boolean hasTask(int index) {
        return index >= 0 && index < spec.tasks();
    }

    void move(int index, TaskPhase to) {
        TaskPhase from = phases[index];
        counts[from.ordinal()]--;
        counts[to.ordinal()]++;
        phases[index] = to;
        ready.set(index, to == TaskPhase.READY);
    }

    void addLive(Attempt attempt) {
        int index = attempt.id.task().index();
        if (live.put(index, attempt) != null) {
            throw new IllegalStateException("task " + attempt.id.task() + " has two live attempts");
        }
        move(index, TaskPhase.LIVE);
        perRack.merge(attempt.rack, 1, Integer::sum);
    }

    void removeLive(Attempt attempt) {
        if (live.remove(attempt.id.task().index()) != attempt) {
            throw new IllegalStateException("attempt " + attempt.id + " was not live");
        }
        perRack.merge(attempt.rack, -1, Integer::sum);
    }

    int replicasIn(String rack) {
        return perRack.getOrDefault(rack, 0);
    }

    int nextAttemptNumber(int index, long epoch) {
        resetNumbersForEpoch(epoch);
        return ++attemptNumbers[index];
    }

    /** Keeps later numbers above one that was reported for the same epoch. */
    void noteAttempt(int index, long epoch, int number) {
        if (epoch > attemptNumbersEpoch) {
            resetNumbersForEpoch(epoch);
        }
        if (epoch == attemptNumbersEpoch) {
            attemptNumbers[index] = Math.max(attemptNumbers[index], number);
        }
    }

    private void resetNumbersForEpoch(long epoch) {
        if (epoch != attemptNumbersEpoch) {
            Arrays.fill(attemptNumbers, 0);
            attemptNumbersEpoch = epoch;
        }
    }

    void noteStart(int index, long nowMs) {
        if (!started.get(index)) {
            started.set(index);
            longestStartWaitMs = Math.max(longestStartWaitMs, nowMs - acceptedAtMs);
        }
    }

    long longestWaitMs(long nowMs) {
        boolean someNeverStarted = started.cardinality() + endedWithoutStart() < spec.tasks() && !isFinished();
        return someNeverStarted ? Math.max(longestStartWaitMs, nowMs - acceptedAtMs) : longestStartWaitMs;
    }

    private int endedWithoutStart() {
        int unseen = 0;
        for (int i = 0; i < phases.length; i++) {
            if (!started.get(i) && (phases[i].isFinal() || phases[i] == TaskPhase.OPEN)) {
                unseen++;
            }
        }
        return unseen;
    }

    TaskId task(int index) {
        return new TaskId(spec.id(), index);
    }
}
