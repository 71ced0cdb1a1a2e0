package io.radishspindle.pool.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Runs that may be to blame for the loss of their worker, with a gang as one. Immutable and thread-safe.
 *
 * @param hasUnknown whether there are others, of tasks that are not needed any more
 */
record CrashSuspects(List<Suspect> suspects, boolean hasUnknown) {
    /** Longest time from a start to the loss of its worker, in ms, for which the run alone can be to blame. */
    private static final long PROMPT_MS = 150;
    /** Highest age of a run to blame that no report has shown alive, if the others were all shown alive. */
    private static final long MAX_UNREPORTED_MS = 2_000;

    /** Runs that were started within this time, in milliseconds, count as started together. */
    private static final long TOGETHER_MS = 30;

    /** @param ageMs from the start of the run to the loss of its worker; {@link Long#MAX_VALUE} if it isn't known */
    record Suspect(TaskState task, int attempt, long ageMs) {
        /** Whether the worker was lost just after it had started the run. */
        boolean prompt() {
            return ageMs <= PROMPT_MS;
        }

        /** For the log. */
        String describe() {
            String age = ageMs == Long.MAX_VALUE ? "" : "+" + ageMs + "ms";
            return task.name + "@" + attempt + age;
        }
    }

    CrashSuspects {
        suspects = List.copyOf(suspects);
    }

    /** The runs that had not survived their start at a certain time. */
    static CrashSuspects of(List<RunState> runs, long atMs) {
        return among(runs.stream().filter(run -> !run.hasSurvivedStart(atMs)).toList(), atMs);
    }

    /** Young runs that no report has shown alive after their start. */
    static CrashSuspects unreported(List<RunState> runs, long atMs) {
        return among(
                runs.stream()
                        .filter(run -> !run.survivalReported && atMs - run.acceptedAtMs < MAX_UNREPORTED_MS)
                        .toList(),
                atMs);
    }

    /**
     * The runs that may have taken down a worker which went silent after an answer at a certain time: no report has
     * shown them alive after their start.
     *
     * @param silentFromMs when the first hold after the answer failed
     */
    static CrashSuspects unreportedSince(List<RunState> runs, long answeredAtMs, long silentFromMs) {
        return among(
                runs.stream()
                        .filter(run -> !run.survivalReported && run.sentAtMs > answeredAtMs - MAX_UNREPORTED_MS)
                        .toList(),
                silentFromMs);
    }

    private static CrashSuspects among(List<RunState> runs, long atMs) {
        List<Suspect> suspects = new ArrayList<>();
        Set<CrashRecord> records = new HashSet<>();
        boolean hasUnknown = false;
        for (RunState run : runs) {
            TaskState task = run.task;
            if (run.outdated) {
                continue;
            }
            if (task == null) {
                hasUnknown = true;
            } else if (records.add(task.crashRecord())) {
                // A start without an answer may never have been executed, or late.
                long startedAtMs = run.acceptedAtMs < 0 ? run.sentAtMs : run.acceptedAtMs;
                suspects.add(new Suspect(task, run.run.attempt(), atMs - startedAtMs));
            }
        }
        return new CrashSuspects(suspects, hasUnknown);
    }

    /** Leaves out the tasks of which an earlier run has survived its start, if others remain. */
    CrashSuspects withoutProven() {
        return narrowed(suspect -> !suspect.task().hasSurvivedStart());
    }

    /** Leaves out the steps whose runs were older or younger than in earlier crashes, if others remain. */
    CrashSuspects narrowed(CrashDelays delays) {
        return narrowed(suspect -> delays.agreesWith(suspect.ageMs()));
    }

    /** Whether some run was as old as in earlier crashes. */
    boolean agreesWith(CrashDelays delays) {
        return suspects.stream().anyMatch(suspect -> delays.agreesWith(suspect.ageMs()));
    }

    private CrashSuspects narrowed(Predicate<Suspect> isLikely) {
        Set<StepState> steps = suspects.stream()
                .filter(isLikely)
                .map(suspect -> suspect.task().step)
                .collect(Collectors.toSet());
        List<Suspect> likely = suspects.stream()
                .filter(suspect -> steps.contains(suspect.task().step))
                .toList();
        return likely.isEmpty() ? this : new CrashSuspects(likely, hasUnknown);
    }

    /** Whether no tasks but those of one step can be to blame; each of them then needs a trial of its own. */
    static boolean areOfOneStep(List<Suspect> suspects) {
        return suspects.stream().map(suspect -> suspect.task().step).distinct().count() == 1;
    }

    /** How long after its start the run to blame took its worker down, if all suspects were started together. */
    OptionalLong delayMs() {
        LongSummaryStatistics ages = suspects.stream().mapToLong(Suspect::ageMs).summaryStatistics();
        boolean together = ages.getMax() - ages.getMin() <= TOGETHER_MS;
        return hasUnknown
                        || suspects.isEmpty()
                        || !together
                        || !suspects.stream().allMatch(Suspect::prompt)
                ? OptionalLong.empty()
                : OptionalLong.of(ages.getMax());
    }

    boolean isSole() {
        return suspects.size() == 1 && !hasUnknown && suspects.get(0).prompt();
    }
}
