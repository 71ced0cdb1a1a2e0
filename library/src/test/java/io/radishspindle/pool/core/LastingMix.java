package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.TaskName;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Load of lasting tasks beside short tasks, large tasks and gangs, in phases with random faults and phases without, in
 * which it checks that no lasting task waits beside room. Not thread-safe.
 */
final class LastingMix {
    private static final AdvicePolicy SHORT_CALLS = new AdvicePolicy(17, 0.24, 1_500);
    private static final AdvicePolicy LONG_CALLS = new AdvicePolicy(560, 8, 1_500);
    private static final Resources CAPACITY = new Resources(64_000, 256_000, 8);
    private static final int WORKERS = 24;
    private static final int RACK_WORKERS = 5;
    private static final long TICK_MS = 50;
    private static final long FAULTS_MS = 8_000;
    private static final long CALM_MS = 14_000;
    /** From the end of the faults until waits count. */
    private static final long SETTLE_MS = 4_000;
    /** From the end of a run until waits of its task count. */
    private static final long RESTART_MS = 3_000;
    /** Longest wait beside room for two tasks. */
    private static final long LIMIT_MS = 3_000;

    /** A lasting task. */
    private static final class Watched {
        final TaskName name;
        final StepSpec step;
        final boolean advised;
        long countsFromMs;

        Watched(TaskName name, StepSpec step, boolean advised, long countsFromMs) {
            this.name = name;
            this.step = step;
            this.advised = advised;
            this.countsFromMs = countsFromMs;
        }
    }

    final PoolSimulation pool;
    /** Lasting tasks that waited beside room for longer than the limit. */
    final List<String> waits = new ArrayList<>();

    /** Whether waits count only once the recovery after a change of owner is over. */
    private final boolean afterRecovery;

    private final UniformRandomProvider random;
    private final Map<String, List<Watched>> lasting = new HashMap<>();
    private int jobs;

    LastingMix(long seed, boolean afterRecovery) {
        this.afterRecovery = afterRecovery;
        pool = new PoolSimulation(seed);
        pool.advice.approval = 0.4;
        pool.adviceChannels = 6;
        pool.advice.validityMs = LONG_CALLS.validMs();
        random = pool.random();
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker("w" + i, CAPACITY, "r" + i / RACK_WORKERS);
        }
        pool.runUntil(1_500);
    }

    /** Alternates phases with faults and phases without. */
    void run(int phases) {
        for (int i = 0; i < phases; i++) {
            long faultsEndMs = pool.nowMs + FAULTS_MS;
            while (pool.nowMs < faultsEndMs) {
                injectFault();
                tick(false);
            }
            repair();
            long calmFromMs = pool.nowMs + SETTLE_MS;
            lasting.values().forEach(all -> all.forEach(task -> task.countsFromMs = calmFromMs));
            long calmEndMs = pool.nowMs + CALM_MS;
            while (pool.nowMs < calmEndMs) {
                tick(true);
            }
        }
    }

    private void tick(boolean calm) {
        submitSome();
        pool.runUntil(pool.nowMs + TICK_MS);
        if (calm) {
            lasting.values().forEach(all -> all.forEach(this::check));
        }
    }

    private void check(Watched task) {
        if (afterRecovery && pool.scheduler.isRecovering(pool.nowMs)) {
            task.countsFromMs = Math.max(task.countsFromMs, pool.nowMs);
        } else if (pool.history.isRunning(task.name)) {
            task.countsFromMs = Math.max(task.countsFromMs, pool.nowMs + RESTART_MS);
        } else if (!hasRoomTwice(task)) {
            task.countsFromMs = Math.max(task.countsFromMs, pool.nowMs);
        } else if (pool.nowMs - task.countsFromMs > LIMIT_MS) {
            waits.add(pool.nowMs + " " + task.name + " of " + task.step.reserved() + " waits; reported: "
                    + pool.delays.stream()
                            .filter(delay -> delay.task().equals(task.name))
                            .reduce((first, second) -> second)
                            .map(Object::toString)
                            .orElse("nothing"));
            task.countsFromMs = Long.MAX_VALUE;
        }
    }

    private boolean hasRoomTwice(Watched task) {
        String step = task.name.jobId() + ".0.0";
        int limit = task.step.maxPerWorker() == 0 ? Integer.MAX_VALUE : task.step.maxPerWorker();
        long fits = 0;
        for (SimWorker worker : pool.workers.values()) {
            boolean allowed = !worker.isDown && (!task.advised || pool.advice.approves(step, worker.entry.id()));
            long there = worker.running.keySet().stream()
                    .filter(run -> run.task().jobId().equals(task.name.jobId()))
                    .count();
            if (allowed && there < limit) {
                fits += worker.free().timesThatFit(task.step.reserved(), (int) Math.min(2, limit - there));
            }
        }
        return fits >= 2;
    }

    private void submitSome() {
        double draw = random.nextDouble();
        if (draw < 0.02) {
            submitLasting();
        } else if (draw < 0.10) {
            submit(0, SHORT_CALLS, SimJobs.sized(1 + random.nextInt(12), sized(6_100, 22_000), false, 700));
        } else if (draw < 0.12) {
            submit(2, LONG_CALLS, SimJobs.sized(4 + random.nextInt(20), sized(13_000, 38_000), false, 3_600));
        } else if (draw < 0.125) {
            submit(1, LONG_CALLS, SimJobs.sized(2 + random.nextInt(3), sized(31_000, 130_000), true, 4_000));
        }
        if (random.nextDouble() < 0.01 && !lasting.isEmpty()) {
            List<String> ids = lasting.keySet().stream().sorted().toList();
            String id = ids.get(random.nextInt(ids.size()));
            lasting.remove(id);
            pool.cancel(id);
        }
    }

    /** An amount around a mean, between a half and the double of it for each resource by itself. */
    private Resources sized(long milliCores, long memoryMib) {
        return new Resources(
                (long) (milliCores * Math.pow(2, 2 * random.nextDouble() - 1)),
                (long) (memoryMib * Math.pow(2, 2 * random.nextDouble() - 1)),
                0);
    }

    private void submit(int priority, AdvicePolicy advice, StepSpec step) {
        pool.submit(SimJobs.advised("j" + jobs++, priority, pool.nowMs, advice, step));
    }

    private void submitLasting() {
        String id = "lasting" + jobs++;
        int count = 1 + random.nextInt(10);
        StepSpec step = SimJobs.lasting(count, sized(16_000, 60_000), random.nextBoolean() ? 1 : 0);
        boolean advised = random.nextInt(4) > 0;
        PoolJob job =
                advised ? SimJobs.advised(id, 1, pool.nowMs, LONG_CALLS, step) : SimJobs.job(id, 1, pool.nowMs, step);
        List<Watched> tasks = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            tasks.add(new Watched(new TaskName(id, 0, 0, i), step, advised, pool.nowMs + SETTLE_MS));
        }
        lasting.put(id, tasks);
        pool.submit(job);
    }

    private void injectFault() {
        List<SimWorker> workers = List.copyOf(pool.workers.values());
        SimWorker worker = workers.get(random.nextInt(workers.size()));
        pool.lateOrderProbability = 0.05;
        pool.lostAnswerProbability = 0.03;
        switch (random.nextInt(100)) {
            case 0, 1 -> worker.unreachable = true;
            case 2 -> workers.forEach(other -> other.unreachable = false);
            case 3, 4 -> pool.restart(worker);
            case 5, 6 -> pool.crash(worker);
            case 7 -> pool.changeOwner();
            case 8 -> pool.changeOwnerAfterLapse(random.nextInt(workers.size()));
            case 9 -> pool.storeUnavailable = true;
            case 10, 11 -> pool.storeUnavailable = false;
            default -> {
                // no fault in most ticks
            }
        }
    }

    private void repair() {
        pool.workers.values().forEach(worker -> worker.unreachable = false);
        pool.storeUnavailable = false;
        pool.lateOrderProbability = 0;
        pool.lostAnswerProbability = 0;
    }
}
