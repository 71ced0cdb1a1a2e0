package io.radishspindle.ownership;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/** Majorities of workers. Holds no state. */
final class Quorum {
    /** A time before every other; an event that has not happened. */
    static final long NEVER = Long.MIN_VALUE / 4;

    private Quorum() {}

    /**
     * The latest time since which a majority of every set has done something, as long as each did it at or after that
     * time.
     *
     * @param at when a worker last did it; {@link #NEVER} if it did not
     */
    static long majoritySince(List<Set<String>> sets, ToLongFunction<String> at) {
        long result = Long.MAX_VALUE;
        for (Set<String> set : sets) {
            result = Math.min(result, majoritySince(set, at));
        }
        return sets.isEmpty() ? NEVER : result;
    }

    private static long majoritySince(Set<String> set, ToLongFunction<String> at) {
        if (set.isEmpty()) {
            return NEVER;
        }
        long[] times = set.stream().mapToLong(at).sorted().toArray();
        int majority = set.size() / 2 + 1;
        return times[times.length - majority];
    }

    /** The earliest time since which all workers of a set had done something; {@link #NEVER} if one did not. */
    static long allAt(Set<String> set, ToLongFunction<String> at) {
        return Arrays.stream(set.stream().mapToLong(at).toArray()).min().orElse(NEVER);
    }
}
