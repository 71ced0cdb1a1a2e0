package io.radishspindle.bench.routing;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** How a baseline chooses among executors that have a free slot by the VM's own view. */
interface ExecutorChoice {
    /**
     * Chooses one of the candidates.
     *
     * @param candidates executors with a free slot, in ascending order, at least one
     * @param inUse requests of this VM at each executor
     */
    int choose(List<Integer> candidates, int[] inUse);

    static ExecutorChoice random(UniformRandomProvider random) {
        return (candidates, inUse) -> candidates.get(random.nextInt(candidates.size()));
    }

    static ExecutorChoice roundRobin() {
        int[] last = {-1};
        return (candidates, inUse) -> {
            int next = candidates.stream()
                    .filter(executor -> executor > last[0])
                    .findFirst()
                    .orElse(candidates.get(0));
            last[0] = next;
            return next;
        };
    }

    static ExecutorChoice leastConnections(UniformRandomProvider random) {
        return (candidates, inUse) -> {
            int least = candidates.stream()
                    .mapToInt(executor -> inUse[executor])
                    .min()
                    .orElse(0);
            List<Integer> best = candidates.stream()
                    .filter(executor -> inUse[executor] == least)
                    .toList();
            return best.get(random.nextInt(best.size()));
        };
    }
}
