package io.radishspindle.pool.tenant;

import com.fasterxml.jackson.annotation.JsonFormat;
import io.radishspindle.model.Resources;
import java.util.function.ToIntFunction;

/**
 * A part of a quota, in millionths for each resource. Immutable and thread-safe. Encoded as an array, so that new
 * fields may be added at the end only.
 *
 * <p>Invariant: each part lies between 0 and {@link #WHOLE}.
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record Share(int processor, int memory, int accelerators) {
    /** The whole quota, in millionths. */
    public static final int WHOLE = 1_000_000;

    public static final Share NONE = new Share(0, 0, 0);
    /** All of a quota. */
    public static final Share ALL = new Share(WHOLE, WHOLE, WHOLE);

    /** Stands for the absence of a limit; low enough to be added to. */
    private static final long UNLIMITED = Long.MAX_VALUE / 4;

    private static final int UNLIMITED_ACCELERATORS = Integer.MAX_VALUE / 4;

    public Share {
        if (!isPart(processor) || !isPart(memory) || !isPart(accelerators)) {
            throw new IllegalArgumentException(
                    "share outside 0 to " + WHOLE + ": " + processor + ", " + memory + ", " + accelerators);
        }
    }

    private static boolean isPart(int millionths) {
        return millionths >= 0 && millionths <= WHOLE;
    }

    static Share of(ToIntFunction<Dimension> parts) {
        return new Share(
                parts.applyAsInt(Dimension.PROCESSOR),
                parts.applyAsInt(Dimension.MEMORY),
                parts.applyAsInt(Dimension.ACCELERATORS));
    }

    /** The lower part in each dimension. */
    Share min(Share other) {
        return of(dimension -> Math.min(dimension.of(this), dimension.of(other)));
    }

    /** The amount that this share of a quota allows, rounded down; practically unlimited where the quota is 0. */
    Resources amountOf(Resources quota) {
        long cores = quota.milliCores() > 0 ? partOf(quota.milliCores(), processor) : UNLIMITED;
        long mebibytes = quota.memoryMib() > 0 ? partOf(quota.memoryMib(), memory) : UNLIMITED;
        int devices =
                quota.accelerators() > 0 ? (int) partOf(quota.accelerators(), accelerators) : UNLIMITED_ACCELERATORS;
        return new Resources(cores, mebibytes, devices);
    }

    private static long partOf(long quota, int millionths) {
        // Divided first, as the product of a large quota and the share would overflow.
        return quota / WHOLE * millionths + quota % WHOLE * millionths / WHOLE;
    }

    /** The lowest part of a quota, in millionths, that allows {@code amount}; the whole quota for all amounts above. */
    static int covering(long amount, long quota) {
        if (amount >= quota) {
            return WHOLE;
        }
        long part = (long) Math.ceil((double) amount / quota * WHOLE);
        // Corrects the rounding of the floating-point division.
        while (part < WHOLE && partOf(quota, (int) part) < amount) {
            part++;
        }
        return (int) Math.min(WHOLE, part);
    }
}
