package io.radishspindle.soak;

import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.TaskOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Decides from the records of workers and submitters whether the guarantees held. Holds no state between calls.
 */
final class HistoryChecker {
    /** A kind of breach. */
    enum Rule {
        TWO_PLACES,
        OVERFULL,
        LOST_JOB,
        RERUN,
        RAN_THOUGH_REFUSED
    }

    /** A worker checks its lease within this time after it resumed, before anything else happens there. */
    private static final long RESUME_MS = 100;

    /** A breach found in a history. */
    record Breach(Rule rule, long atMs, String text) {}

    /** One run of an attempt; {@code endMs} is the time after which it certainly did nothing. */
    private static final class Run {
        final TaskAttempt attempt;
        final String worker;
        final Resources resources;
        final long startMs;
        long endMs = Long.MAX_VALUE;

        @Nullable
        TaskOutcome outcome;

        long acknowledgedMs = Long.MAX_VALUE;

        Run(HistoryEvent.Started started) {
            attempt = started.attempt();
            worker = started.worker();
            resources = started.resources();
            startMs = started.atMs();
        }
    }

    private final List<Run> runs = new ArrayList<>();
    private final Map<String, Resources> capacities = new HashMap<>();
    private final Map<String, JobSpec> submitted = new TreeMap<>();
    private final Map<String, HistoryEvent.Verdict> verdicts = new TreeMap<>();
    private final Set<String> cancelled = new HashSet<>();
    private final Map<String, JobStatus.Phase> phases = new HashMap<>();
    private final Map<String, HistoryEvent.WorkerPaused> lastPause = new HashMap<>();
    private final Map<String, List<Long>> disturbances = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();

    private HistoryChecker() {}

    /** Checks a complete history in the order in which it was recorded. */
    static List<Breach> check(List<HistoryEvent> history) {
        HistoryChecker checker = new HistoryChecker();
        history.forEach(checker::read);
        checker.checkTasks();
        checker.checkOverfull();
        checker.checkJobs();
        return checker.breaches;
    }

    private void read(HistoryEvent event) {
        if (event instanceof HistoryEvent.WorkerUp up) {
            capacities.put(up.worker(), up.capacity());
        } else if (event instanceof HistoryEvent.WorkerDied died) {
            endAll(died);
        } else if (event instanceof HistoryEvent.WorkerPaused paused) {
            lastPause.put(paused.worker(), paused);
            disturb(paused.worker(), paused.sinceMs());
        } else if (event instanceof HistoryEvent.LeaseLapsed lapsed) {
            disturb(lapsed.worker(), lapsed.atMs());
        } else if (event instanceof HistoryEvent.Started started) {
            runs.add(new Run(started));
        } else if (event instanceof HistoryEvent.Ended ended) {
            end(ended);
        } else if (event instanceof HistoryEvent.Acknowledged acknowledged) {
            runs.stream()
                    .filter(run -> run.attempt.equals(acknowledged.attempt()))
                    .forEach(run -> run.acknowledgedMs = Math.min(run.acknowledgedMs, acknowledged.atMs()));
        } else if (event instanceof HistoryEvent.Submitted job) {
            submitted.put(job.job().id(), job.job());
        } else if (event instanceof HistoryEvent.Answered answered) {
            verdicts.put(answered.jobId(), answered.verdict());
        } else if (event instanceof HistoryEvent.CancelSent sent) {
            cancelled.add(sent.jobId());
        } else if (event instanceof HistoryEvent.FinalPhase phase) {
            phases.put(phase.jobId(), phase.phase());
        }
    }

    private void endAll(HistoryEvent.WorkerDied died) {
        HistoryEvent.WorkerPaused paused = lastPause.get(died.worker());
        // A worker that is killed during a pause has done nothing since the pause began.
        long lastActiveMs = paused != null && paused.atMs() == died.atMs() ? paused.sinceMs() : died.atMs();
        for (Run run : runs) {
            if (run.worker.equals(died.worker()) && run.endMs == Long.MAX_VALUE) {
                run.endMs = Math.max(run.startMs, lastActiveMs);
            }
        }
        disturb(died.worker(), died.atMs());
    }

    /** From this time on the owner may have missed what the worker had to report. */
    private void disturb(String worker, long atMs) {
        disturbances.computeIfAbsent(worker, id -> new ArrayList<>()).add(atMs);
    }

    private void end(HistoryEvent.Ended ended) {
        for (Run run : runs) {
            if (run.attempt.equals(ended.attempt())
                    && run.worker.equals(ended.worker())
                    && run.endMs == Long.MAX_VALUE) {
                run.outcome = ended.outcome();
                run.endMs = ended.atMs();
                HistoryEvent.WorkerPaused paused = lastPause.get(run.worker);
                // A worker that was paused past its lease stops its tasks on resuming; they did nothing meanwhile.
                if (ended.outcome() == TaskOutcome.LEASE_EXPIRED
                        && paused != null
                        && ended.atMs() - paused.atMs() <= RESUME_MS) {
                    run.endMs = Math.max(run.startMs, paused.sinceMs());
                }
            }
        }
    }

    private void checkTasks() {
        Map<TaskId, List<Run>> byTask = new HashMap<>();
        runs.forEach(run -> byTask.computeIfAbsent(run.attempt.task(), task -> new ArrayList<>())
                .add(run));
        for (List<Run> same : byTask.values()) {
            for (int i = 0; i < same.size(); i++) {
                for (int j = i + 1; j < same.size(); j++) {
                    checkPair(same.get(i), same.get(j));
                }
            }
        }
    }

    private void checkPair(Run first, Run second) {
        if (first.startMs < second.endMs && second.startMs < first.endMs) {
            String text = first.attempt + " at " + first.worker + " and " + second.attempt + " at " + second.worker;
            breaches.add(new Breach(Rule.TWO_PLACES, second.startMs, text));
        } else if (first.outcome == TaskOutcome.SUCCEEDED && !isExcused(first, second.startMs)) {
            String text = second.attempt + " started at " + second.worker + " after " + first.attempt + " succeeded at "
                    + first.worker;
            breaches.add(new Breach(Rule.RERUN, second.startMs, text));
        }
    }

    /** A success that nobody was told of is lost with the worker or its leases. */
    private boolean isExcused(Run succeeded, long startedAgainMs) {
        return succeeded.acknowledgedMs > startedAgainMs
                && disturbances.getOrDefault(succeeded.worker, List.of()).stream()
                        .anyMatch(at -> at >= succeeded.endMs && at <= startedAgainMs);
    }

    private void checkOverfull() {
        Map<String, List<Run>> byWorker = new TreeMap<>();
        runs.forEach(run -> byWorker.computeIfAbsent(run.worker, worker -> new ArrayList<>())
                .add(run));
        byWorker.forEach((worker, all) -> {
            for (Run at : all) {
                Resources sum = all.stream()
                        .filter(run -> run.startMs <= at.startMs && at.startMs < run.endMs)
                        .map(run -> run.resources)
                        .reduce(Resources.NONE, Resources::plus);
                Resources capacity = Objects.requireNonNull(capacities.get(worker), "worker without capacity");
                if (!sum.fitsIn(capacity)) {
                    breaches.add(new Breach(Rule.OVERFULL, at.startMs, worker + " holds " + sum));
                    return;
                }
            }
        });
    }

    private void checkJobs() {
        Map<String, Set<Integer>> succeeded = new HashMap<>();
        Map<String, Run> started = new HashMap<>();
        Set<String> failed = new HashSet<>();
        for (Run run : runs) {
            String job = run.attempt.task().jobId();
            started.putIfAbsent(job, run);
            if (run.outcome == TaskOutcome.SUCCEEDED) {
                succeeded
                        .computeIfAbsent(job, id -> new HashSet<>())
                        .add(run.attempt.task().index());
            } else if (run.outcome == TaskOutcome.FAILED) {
                failed.add(job);
            }
        }
        verdicts.forEach((id, verdict) -> {
            JobSpec job = Objects.requireNonNull(submitted.get(id), "answer to a job that was not submitted");
            int done = succeeded.getOrDefault(id, Set.of()).size();
            boolean gaveUp = failed.contains(id) && isGivenUp(phases.get(id));
            if (verdict == HistoryEvent.Verdict.ACCEPTED && done < job.tasks() && !cancelled.contains(id) && !gaveUp) {
                String text = "job " + id + ": " + done + " of " + job.tasks() + " tasks succeeded";
                breaches.add(new Breach(Rule.LOST_JOB, 0, text));
            }
            Run run = started.get(id);
            if (verdict == HistoryEvent.Verdict.NOT_RUN && run != null) {
                breaches.add(new Breach(Rule.RAN_THOUGH_REFUSED, run.startMs, "job " + id + " ran at " + run.worker));
            }
        });
    }

    private static boolean isGivenUp(JobStatus.@Nullable Phase phase) {
        return phase == JobStatus.Phase.FAILED || phase == JobStatus.Phase.SET_ASIDE;
    }
}
