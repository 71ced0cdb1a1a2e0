package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Sound jobs that take a third of a pool of any size, beside jobs that crash their workers, jobs that fail wherever
 * they run, and workers that fail whatever they start. Not thread-safe.
 */
final class GuardMix {
    /** What goes wrong beside the sound jobs. */
    enum Trouble {
        DEADLY,
        HOPELESS,
        SICK_WORKERS,
        ALL
    }

    private static final Resources CAPACITY = new Resources(16_000, 32_000, 8);
    /** Time between two jobs in a pool of one worker. */
    private static final long ONE_WORKER_INTERVAL_MS = 360;

    private static final int TROUBLED_JOBS_INVERSE = 10;
    private static final long START_MS = 2_000;
    private static final long TRAFFIC_MS = 10_000;
    /** Time from the end of the traffic until jobs are asked for, and for how long. */
    private static final long FINISH_MS = 14_000;

    private static final long CHECK_MS = 6_000;
    private static final long SICK_FROM_MS = 2_000;
    private static final long SICK_MS = 6_500;
    private static final double SICK_SHARE = 0.15;
    private static final long TICK_MS = 20;

    final PoolSimulation pool;
    final LostRule rule;
    final List<String> soundJobs = new ArrayList<>();
    /** Sound jobs that had not ended {@link #FINISH_MS} after the traffic. */
    final List<String> openAtCheck = new ArrayList<>();

    private final Trouble trouble;
    private final int workers;
    private final UniformRandomProvider random;
    private List<SimWorker> sick = List.of();
    private int jobs;

    GuardMix(Trouble trouble, int workers, long seed, boolean silentCrashes) {
        this.trouble = trouble;
        this.workers = workers;
        pool = new PoolSimulation(seed);
        pool.crashesSilently = silentCrashes;
        pool.returnsUnderItsId = seed % 2 == 0;
        pool.crashesWorker = task -> task.jobId().startsWith("deadly");
        pool.failsAlways = task -> task.jobId().startsWith("hopeless");
        random = pool.random();
        rule = new LostRule(pool);
        for (int i = 0; i < workers; i++) {
            pool.addWorker("w" + i, CAPACITY, "r" + i);
        }
        pool.runUntil(START_MS);
    }

    /** Plays the traffic, and the time after it up to the end of the check. */
    void run() {
        long intervalMs = ONE_WORKER_INTERVAL_MS / workers;
        long trafficEndMs = START_MS + TRAFFIC_MS;
        long nextMs = START_MS;
        if (has(Trouble.SICK_WORKERS)) {
            sick = pool.randomWorkers((int) Math.ceil(SICK_SHARE * workers));
            submitLastingJobs();
        }
        while (pool.nowMs < trafficEndMs) {
            boolean fails = pool.nowMs >= START_MS + SICK_FROM_MS && pool.nowMs < START_MS + SICK_FROM_MS + SICK_MS;
            sick.forEach(worker -> worker.failsStarts = fails);
            for (; nextMs <= pool.nowMs; nextMs += Math.max(1, intervalMs)) {
                submitJob();
            }
            tick(pool.nowMs + TICK_MS);
        }
        sick.forEach(worker -> worker.failsStarts = false);
        submitForEachWorker();
        tickUntil(trafficEndMs + FINISH_MS);
        soundJobs.stream().filter(this::isOpen).forEach(openAtCheck::add);
        rule.beginAnew();
        tickUntil(trafficEndMs + FINISH_MS + CHECK_MS);
    }

    /** Number of runs that were started on each sick worker while it failed all of them. */
    List<Integer> startsOnSickWorkers() {
        return sick.stream().map(worker -> worker.startsWhileFailing).toList();
    }

    private boolean isOpen(String jobId) {
        return !jobId.startsWith("lasting")
                && pool.phase(jobId).filter(JobPhase::isFinal).isEmpty();
    }

    private boolean has(Trouble kind) {
        return trouble == kind || trouble == Trouble.ALL;
    }

    private void tickUntil(long untilMs) {
        while (pool.nowMs < untilMs) {
            tick(pool.nowMs + TICK_MS);
        }
    }

    private void tick(long untilMs) {
        pool.runUntil(untilMs);
        rule.check();
    }

    private void submitJob() {
        int number = jobs++;
        boolean troubled = number % TROUBLED_JOBS_INVERSE == 3;
        if (troubled && has(Trouble.DEADLY) && !(has(Trouble.HOPELESS) && random.nextBoolean())) {
            submit(SimJobs.job("deadly" + number, 0, pool.nowMs, shape()));
        } else if (troubled && has(Trouble.HOPELESS)) {
            StepSpec step = random.nextBoolean()
                    ? SimJobs.lasting(1 + random.nextInt(12), new Resources(1_000, 100, 0), 0)
                    : shape();
            submit(SimJobs.job("hopeless" + number, random.nextInt(3), pool.nowMs, step));
        } else {
            submitSound(SimJobs.job("sound" + number, random.nextInt(3), pool.nowMs, shape()));
        }
    }

    /** Mostly two short tasks; now and then a step that is wider than a worker, or longer. */
    private StepSpec shape() {
        return switch (random.nextInt(20)) {
            case 0 -> SimJobs.step(12, 1_000, 0, 300);
            case 1 -> SimJobs.step(1, 3_000, 0, 2_500);
            default -> SimJobs.step(2, 1_500, 0, 700);
        };
    }

    private void submitLastingJobs() {
        for (int i = 0; i < workers; i++) {
            StepSpec step = SimJobs.withLabel(SimJobs.lasting(1, new Resources(1_000, 100, 0), 0), "r" + i);
            submitSound(SimJobs.job("lasting" + i, 1, pool.nowMs, step));
        }
    }

    /** Jobs that can run on one worker only. */
    private void submitForEachWorker() {
        for (int i = 0; i < workers; i++) {
            StepSpec step = SimJobs.withLabel(SimJobs.step(2, 1_500, 0, 700), "r" + i);
            submitSound(SimJobs.job("labelled" + i, 2, pool.nowMs, step));
        }
    }

    private void submitSound(PoolJob job) {
        soundJobs.add(job.id());
        submit(job);
        rule.watch(job);
    }

    private void submit(PoolJob job) {
        pool.submit(job);
    }
}
