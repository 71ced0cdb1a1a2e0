package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.StepSpec;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Load on a pool of accelerators: gangs whose members need most of a worker, and jobs of many small tasks of lower
 * priority. Only a part of the workers is approved for each step. Not thread-safe.
 */
final class PressureMix {
    private static final AdvicePolicy ADVICE = new AdvicePolicy(800, 8, 2_000);
    private static final int WORKERS = 68;
    private static final long GANG_MS = 3_600;
    private static final long SMALL_MS = 3_000;
    /** Gangs and small jobs a second that together request all accelerators of the pool. */
    private static final double GANGS_PER_S = 3.75;

    private static final double SMALL_JOBS_PER_S = 4.24;
    private static final long TICK_MS = 50;

    final PoolSimulation pool;
    private final UniformRandomProvider random;
    private final Map<String, Long> openSinceMs = new HashMap<>();
    private final double factor;
    int gangs;
    int gangsInTime;
    int gangsCompleted;
    int smallJobs;
    int smallInTime;
    int smallCompleted;
    private double usedShareSum;
    private int ticksWithBacklog;

    PressureMix(long seed, double factor) {
        this.factor = factor;
        pool = new PoolSimulation(seed);
        pool.advice.approval = 0.35;
        pool.adviceChannels = 21;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < WORKERS; i++) {
            pool.addWorker("w" + i, new Resources(64_000, 256_000, 8), "r" + i / 8);
        }
        pool.runUntil(1_500);
    }

    /** Submits jobs for a time, and continues until the open jobs had their time too. */
    void run(long loadMs, long afterMs) {
        long loadEndsMs = pool.nowMs + loadMs;
        while (pool.nowMs < loadEndsMs + afterMs) {
            if (pool.nowMs < loadEndsMs) {
                submitSome();
            }
            pool.runUntil(pool.nowMs + TICK_MS);
            closeCompleted();
            sample();
        }
    }

    private void submitSome() {
        if (random.nextDouble() < factor * GANGS_PER_S * TICK_MS / 1_000) {
            String id = "gang" + gangs++;
            Resources member = new Resources(31_000, 130_000, 2 << random.nextInt(3));
            submit(id, 1, SimJobs.sized(3 + random.nextInt(5), member, true, GANG_MS));
        }
        if (random.nextDouble() < factor * SMALL_JOBS_PER_S * TICK_MS / 1_000) {
            String id = "small" + smallJobs++;
            Resources task = new Resources(5_600, 29_000, 1);
            submit(id, 2, SimJobs.sized(8 + random.nextInt(17), task, false, SMALL_MS));
        }
    }

    private void submit(String id, int priority, StepSpec step) {
        openSinceMs.put(id, pool.nowMs);
        pool.submit(SimJobs.advised(id, priority, pool.nowMs, ADVICE, step));
    }

    private void closeCompleted() {
        for (Iterator<Map.Entry<String, Long>> open = openSinceMs.entrySet().iterator(); open.hasNext(); ) {
            Map.Entry<String, Long> job = open.next();
            if (!pool.phase(job.getKey()).equals(Optional.of(JobPhase.COMPLETED))) {
                continue;
            }
            open.remove();
            boolean gang = job.getKey().startsWith("gang");
            long objectiveMs = 400 + 2 * ((gang ? GANG_MS : SMALL_MS) + ADVICE.callMs(30));
            boolean inTime = pool.nowMs - job.getValue() <= objectiveMs;
            gangsCompleted += gang ? 1 : 0;
            smallCompleted += gang ? 0 : 1;
            gangsInTime += gang && inTime ? 1 : 0;
            smallInTime += !gang && inTime ? 1 : 0;
        }
    }

    private void sample() {
        PoolLoad load = pool.scheduler.load(pool.nowMs, pool.nowMs);
        if (load.waitingByPriority().values().stream()
                        .mapToLong(Long::longValue)
                        .sum()
                > 100) {
            usedShareSum += (double) load.usedAccelerators() / load.accelerators();
            ticksWithBacklog++;
        }
    }

    /** Average share of the accelerators in use while over 100 tasks wait. */
    double usedShareWithBacklog() {
        return ticksWithBacklog == 0 ? 1 : usedShareSum / ticksWithBacklog;
    }

    long preemptions() {
        return pool.stopReasons.stream()
                .filter(reason -> reason.startsWith("preempted"))
                .count();
    }

    @Override
    public String toString() {
        return String.format(
                "factor=%.1f gangs=%d/%d/%d small=%d/%d/%d used=%.2f of %d ticks preemptions=%d violations=%d",
                factor,
                gangsInTime,
                gangsCompleted,
                gangs,
                smallInTime,
                smallCompleted,
                smallJobs,
                usedShareWithBacklog(),
                ticksWithBacklog,
                preemptions(),
                pool.history.violations.size());
    }
}
