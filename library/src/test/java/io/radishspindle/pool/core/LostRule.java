package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.TaskName;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * The platform's rule on tasks that wait beside room, checked on what the simulated workers run: a sound job has
 * nothing running for 3 s while a task of it could start, free capacity would hold two such tasks, and under half of
 * the capacity is in use. For lasting tasks it holds for each by itself, however full the pool is, from 6 s after its
 * last run. Time without a majority of the workers doesn't count, as nothing may start then. Not thread-safe.
 */
final class LostRule {
    /** Longest wait beside room, in milliseconds. */
    private static final long LIMIT_MS = 3_000;
    /** From the end of a run until waits of its lasting task count, in milliseconds. */
    private static final long RESTART_MS = 3_000;

    /** A job, or a task that lasts. */
    private record Watched(PoolJob job, Optional<TaskName> lasting) {}

    private final PoolSimulation pool;
    /** Since when each waits beside room; a time in the future while a run is too recent to count. */
    private final Map<Watched, Long> sinceMs = new LinkedHashMap<>();

    final List<String> violations = new ArrayList<>();
    private final Set<Watched> reported = new HashSet<>();
    /** The longest wait beside room that was seen, also where it isn't a violation. */
    long longestWaitMs;

    LostRule(PoolSimulation pool) {
        this.pool = pool;
    }

    /** Checks the waits of a sound job from now on. */
    void watch(PoolJob job) {
        StepSpec first = job.steps().get(0);
        if (first.lasting()) {
            IntStream.range(0, first.count())
                    .mapToObj(i -> new TaskName(job.id(), 0, 0, i))
                    .forEach(task -> sinceMs.put(new Watched(job, Optional.of(task)), pool.nowMs));
        } else {
            sinceMs.put(new Watched(job, Optional.empty()), pool.nowMs);
        }
    }

    /** Forgets a job that was cancelled. */
    void forget(String jobId) {
        sinceMs.keySet().removeIf(watched -> watched.job().id().equals(jobId));
    }

    /** Waits count from now on only; those that were found are forgotten. */
    void beginAnew() {
        beginWaitsAnew();
        violations.clear();
        reported.clear();
    }

    private void beginWaitsAnew() {
        sinceMs.replaceAll((watched, since) -> Math.max(since, pool.nowMs));
    }

    /** Checks all waits; called every few milliseconds. */
    void check() {
        sinceMs.keySet()
                .removeIf(watched ->
                        pool.phase(watched.job().id()).map(JobPhase::isFinal).orElse(true));
        if (!pool.scheduler.hasQuorum(pool.nowMs)) {
            beginWaitsAnew();
            return;
        }
        boolean halfFree = isUnderHalfInUse();
        sinceMs.replaceAll((watched, since) -> check(watched, since, halfFree));
    }

    private long check(Watched watched, long since, boolean halfFree) {
        if (watched.lasting().isPresent()) {
            if (pool.history.isRunning(watched.lasting().get())) {
                return Math.max(since, pool.nowMs + RESTART_MS);
            }
        } else if (!halfFree || isRunning(watched.job())) {
            return pool.nowMs;
        }
        StepSpec step = nextStep(watched.job());
        if (step == null || !hasRoomTwice(watched.job(), step)) {
            return Math.max(since, pool.nowMs);
        }
        long waitMs = pool.nowMs - since;
        longestWaitMs = Math.max(longestWaitMs, waitMs);
        if (waitMs <= LIMIT_MS || !reported.add(watched)) {
            return since;
        }
        String name =
                watched.lasting().map(TaskName::toString).orElse(watched.job().id());
        violations.add(pool.nowMs + " " + name + " of " + step.reserved() + " waits beside room; reported: "
                + pool.delays.stream()
                        .filter(delay ->
                                delay.task().jobId().equals(watched.job().id()))
                        .reduce((first, second) -> second)
                        .map(Object::toString)
                        .orElse("nothing"));
        return since;
    }

    private boolean isRunning(PoolJob job) {
        return IntStream.range(0, job.steps().size())
                .boxed()
                .flatMap(step -> IntStream.range(0, job.steps().get(step).count())
                        .mapToObj(i -> new TaskName(job.id(), 0, step, i)))
                .anyMatch(pool.history::isRunning);
    }

    /** The first step of which a task could start; null if there is none. */
    private StepSpec nextStep(PoolJob job) {
        for (int i = 0; i < job.steps().size(); i++) {
            StepSpec step = job.steps().get(i);
            if (!isDone(job, i) && step.after().stream().allMatch(earlier -> isDone(job, earlier))) {
                return step;
            }
        }
        return null;
    }

    private boolean isDone(PoolJob job, int step) {
        return IntStream.range(0, job.steps().get(step).count())
                .mapToObj(i -> new TaskName(job.id(), 0, step, i))
                .allMatch(pool.history.succeeded::contains);
    }

    private boolean hasRoomTwice(PoolJob job, StepSpec step) {
        int limit = step.maxPerWorker() == 0 ? Integer.MAX_VALUE : step.maxPerWorker();
        int unit = step.gang() ? step.count() : 1;
        long fits = 0;
        for (SimWorker worker : pool.workers.values()) {
            boolean labelled = step.label().isEmpty() || worker.entry.labels().contains(step.label());
            if (worker.isDown || worker.unreachable || !labelled) {
                continue;
            }
            int there = (int) worker.running.keySet().stream()
                    .filter(run -> run.task().jobId().equals(job.id()))
                    .count();
            fits += worker.free().timesThatFit(step.reserved(), Math.min(2 * unit, Math.max(0, limit - there)));
        }
        return fits >= 2L * unit;
    }

    private boolean isUnderHalfInUse() {
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        for (SimWorker worker : pool.workers.values()) {
            if (!worker.isDown) {
                capacity = capacity.plus(worker.entry.capacity());
                free = free.plus(worker.free());
            }
        }
        return capacity.minus(free).times(2).fitsIn(capacity) && !capacity.equals(Resources.NONE);
    }
}
