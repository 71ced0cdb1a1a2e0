package io.radishspindle.model;

/**
 * An amount of the three resources of a worker. Immutable and thread-safe.
 *
 * <p>Amounts may be negative only as the intermediate result of {@link #minus}.
 *
 * @param milliCores processor time in thousandths of a core
 * @param memoryMib memory in mebibytes
 * @param accelerators whole accelerators
 */
public record Resources(long milliCores, long memoryMib, int accelerators) {
    public static final Resources NONE = new Resources(0, 0, 0);

    public Resources plus(Resources other) {
        return new Resources(
                milliCores + other.milliCores, memoryMib + other.memoryMib, accelerators + other.accelerators);
    }

    public Resources minus(Resources other) {
        return new Resources(
                milliCores - other.milliCores, memoryMib - other.memoryMib, accelerators - other.accelerators);
    }

    public Resources times(int factor) {
        return new Resources(milliCores * factor, memoryMib * factor, accelerators * factor);
    }

    /** Returns the higher amount in each dimension. */
    public Resources atLeast(Resources other) {
        return new Resources(
                Math.max(milliCores, other.milliCores),
                Math.max(memoryMib, other.memoryMib),
                Math.max(accelerators, other.accelerators));
    }

    /** Returns the lower amount in each dimension. */
    public Resources atMost(Resources other) {
        return new Resources(
                Math.min(milliCores, other.milliCores),
                Math.min(memoryMib, other.memoryMib),
                Math.min(accelerators, other.accelerators));
    }

    /** Whether this amount fits into {@code free} in every dimension. */
    public boolean fitsIn(Resources free) {
        return milliCores <= free.milliCores && memoryMib <= free.memoryMib && accelerators <= free.accelerators;
    }

    /** Returns how many times {@code each} fits into this amount; unlimited if {@code each} is nothing. */
    public int count(Resources each) {
        long byProcessor = each.milliCores() > 0 ? milliCores / each.milliCores() : Integer.MAX_VALUE;
        long byMemory = each.memoryMib() > 0 ? memoryMib / each.memoryMib() : Integer.MAX_VALUE;
        long byAccelerators = each.accelerators() > 0 ? accelerators / each.accelerators() : Integer.MAX_VALUE;
        long lowest = Math.min(byProcessor, Math.min(byMemory, byAccelerators));
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, lowest));
    }
}
