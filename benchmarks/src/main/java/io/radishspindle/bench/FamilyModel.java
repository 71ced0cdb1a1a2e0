package io.radishspindle.bench;

import io.radishspindle.model.JobClass;
import io.radishspindle.model.Resources;

/** What the jobs of one family have in common. Immutable and thread-safe. */
record FamilyModel(
        String name,
        JobClass jobClass,
        Resources declared,
        double usageFactor,
        double typicalRunMs,
        double runTimeError,
        boolean faulty) {
    private static final double UNDERSTATED_PART = 0.2;
    private static final double FAULTY_PART = 0.02;
    private static final double ACCELERATOR_PART = 0.15;

    /** Draws a family; sizes are off by up to ten times, run times too. */
    static FamilyModel draw(Draw draw, String name, JobClass jobClass, ClusterSize size) {
        boolean understated = draw.chance(UNDERSTATED_PART);
        double usage = understated ? draw.logUniform(1, 10) : draw.logUniform(0.1, 1);
        double runMs = draw.boundedPareto(1.3, 2_000, 300_000);
        boolean faulty = jobClass == JobClass.BATCH && draw.chance(FAULTY_PART);
        return new FamilyModel(
                name, jobClass, drawSize(draw, jobClass, size), usage, runMs, draw.logUniform(0.1, 10), faulty);
    }

    private static Resources drawSize(Draw draw, JobClass jobClass, ClusterSize size) {
        int largest = jobClass == JobClass.BATCH ? size.largestTaskCores : size.largestTaskCores / 4;
        int powers = Integer.numberOfTrailingZeros(largest) + 1;
        long cores = 1L << draw.below(powers);
        boolean accelerated = jobClass != JobClass.SERVICE && draw.chance(ACCELERATOR_PART);
        int accelerators = accelerated ? 1 << draw.below(3) : 0;
        long memoryPerCore = 1_024L << draw.below(3);
        return new Resources(cores * 1_000, cores * memoryPerCore, accelerators);
    }

    /** True usage of a job of the family, at most a quarter of the largest worker or the declared size. */
    Resources used(Draw draw) {
        double factor = usageFactor * draw.logUniform(0.9, 1.1);
        return new Resources(
                Math.min((long) (declared.milliCores() * factor), Math.max(declared.milliCores(), 16_000)),
                Math.min((long) (declared.memoryMib() * factor), Math.max(declared.memoryMib(), 16_384)),
                declared.accelerators());
    }
}
