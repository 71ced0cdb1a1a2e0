package io.radishspindle.bench;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Generated arrivals of one group: a diurnal peak compressed into the length of the replay, a burst of batch tasks in
 * the middle, services from the start. Not thread-safe.
 */
final class Workload {
    /** Part of the processors that services hold; with the sizes below about a fifth of the running tasks. */
    private static final double SERVICE_PART = 0.12;

    private static final double DIURNAL_AMPLITUDE = 0.25;
    private static final int CALIBRATION_JOBS = 4_000;
    private static final int FAMILIES_PER_CLASS = 40;
    /** The burst of the whole cell, split over the groups. */
    private static final int BURST_TASKS = 10_000;

    private static final int MAX_ATTEMPTS = 3;

    private final Draw draw;
    private final ClusterSize size;
    private final Resources capacity;
    private final List<List<FamilyModel>> families = new ArrayList<>();
    private int nextId;

    Workload(ClusterSize size, List<WorkerInfo> workers, long seed) {
        this.size = size;
        this.draw = new Draw(seed);
        this.capacity = workers.stream().map(WorkerInfo::capacity).reduce(Resources.NONE, Resources::plus);
        for (JobClass jobClass : JobClass.values()) {
            List<FamilyModel> members = new ArrayList<>();
            for (int i = 0; i < FAMILIES_PER_CLASS; i++) {
                members.add(FamilyModel.draw(draw, jobClass + "-" + i, jobClass, size));
            }
            families.add(members);
        }
    }

    /** Jobs in order of arrival; their true need is {@code load} times the capacity that services leave. */
    List<GeneratedJob> generate(long durationMs, double load) {
        List<GeneratedJob> jobs = new ArrayList<>();
        addServices(jobs);
        double meanGapMs = meanGapMs(load);
        double now = 0;
        while (now < durationMs) {
            double phase = 2 * Math.PI * now / durationMs - Math.PI / 2;
            double rate = 1 + DIURNAL_AMPLITUDE * Math.sin(phase);
            now += draw.exponential(meanGapMs / rate);
            jobs.add(drawJob(drawClass(), (long) now));
        }
        jobs.add(burst(durationMs / 2));
        jobs.sort(Comparator.comparingLong(GeneratedJob::arriveAtMs));
        return jobs;
    }

    private void addServices(List<GeneratedJob> jobs) {
        double limit = SERVICE_PART * capacity.milliCores();
        long held = 0;
        while (held < limit) {
            GeneratedJob job = drawJob(JobClass.SERVICE, 0);
            held += job.needed().milliCores() * job.spec().tasks();
            jobs.add(job);
        }
    }

    /** The gap at which the scarcer of processors and memory, and accelerators, reach the load. */
    private double meanGapMs(double load) {
        double cores = 0;
        double memory = 0;
        double accelerators = 0;
        for (int i = 0; i < CALIBRATION_JOBS; i++) {
            GeneratedJob job = drawJob(drawClass(), 0);
            double runMs = job.runMs().stream().mapToDouble(Long::doubleValue).sum();
            Resources needed = job.needed();
            cores += needed.milliCores() * runMs;
            memory += needed.memoryMib() * runMs;
            accelerators += needed.accelerators() * runMs;
        }
        double left = (1 - SERVICE_PART) * load * CALIBRATION_JOBS;
        double gap = Math.max(cores / (left * capacity.milliCores()), memory / (left * capacity.memoryMib()));
        return Math.max(gap, accelerators / (load * CALIBRATION_JOBS * capacity.accelerators()));
    }

    private JobClass drawClass() {
        double at = draw.uniform();
        if (at < 0.15) {
            return JobClass.URGENT;
        }
        return at < 0.22 ? JobClass.ALL_AT_ONCE : JobClass.BATCH;
    }

    private GeneratedJob drawJob(JobClass jobClass, long arriveAtMs) {
        List<FamilyModel> members = families.get(jobClass.ordinal());
        return jobOf(members.get(draw.below(members.size())), drawTasks(jobClass), arriveAtMs);
    }

    private int drawTasks(JobClass jobClass) {
        return switch (jobClass) {
            case URGENT -> 1 + draw.below(2);
            case SERVICE -> 3;
            case ALL_AT_ONCE -> 2 + draw.below(5);
            case BATCH -> (int) draw.boundedPareto(1.1, 1, 100);
        };
    }

    private GeneratedJob burst(long arriveAtMs) {
        return jobOf(families.get(JobClass.BATCH.ordinal()).get(0), BURST_TASKS / size.groups, arriveAtMs);
    }

    /** A backlog of single tasks that waits from the start. */
    List<GeneratedJob> backlog(int tasks) {
        List<GeneratedJob> jobs = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            List<FamilyModel> members = families.get(JobClass.BATCH.ordinal());
            jobs.add(jobOf(members.get(draw.below(members.size())), 1, 0));
        }
        return jobs;
    }

    private GeneratedJob jobOf(FamilyModel family, int tasks, long arriveAtMs) {
        List<Long> runMs = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            boolean service = family.jobClass() == JobClass.SERVICE;
            runMs.add(service ? Long.MAX_VALUE : (long) (family.typicalRunMs() * draw.boundedPareto(1.8, 0.5, 20)));
        }
        long declaredRunMs = (long) (family.typicalRunMs() * family.runTimeError());
        JobSpec spec = new JobSpec(
                "job" + nextId++,
                "team" + (int) draw.boundedPareto(0.5, 1, size.teams),
                family.name(),
                family.jobClass(),
                tasks,
                family.declared(),
                declaredRunMs,
                MAX_ATTEMPTS,
                Map.of());
        return new GeneratedJob(spec, arriveAtMs, runMs, family.used(draw), family.faulty());
    }
}
