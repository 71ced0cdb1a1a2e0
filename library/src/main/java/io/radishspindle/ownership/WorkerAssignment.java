package io.radishspindle.ownership;

import io.radishspindle.model.WorkerInfo;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Value of {@code group/<dc>/assignment}: the group of each worker that was ever listed. Immutable and thread-safe.
 *
 * <p>Invariant: a worker never moves. VMs with different views of the VM list could otherwise put one worker into two
 * groups, whose epochs are not comparable.
 */
record WorkerAssignment(Map<String, Integer> groups, String changeId) {
    static final WorkerAssignment EMPTY = new WorkerAssignment(Map.of(), "");

    WorkerAssignment {
        groups = Map.copyOf(groups);
    }

    boolean covers(List<WorkerInfo> workers) {
        return workers.stream().allMatch(worker -> groups.containsKey(worker.id()));
    }

    List<WorkerInfo> workersOf(int group, List<WorkerInfo> listed) {
        return listed.stream()
                .filter(worker -> groups.getOrDefault(worker.id(), -1) == group)
                .toList();
    }

    /** Assigns new workers: each to the group with the fewest workers of its rack, then the fewest workers. */
    WorkerAssignment extend(List<WorkerInfo> listed, int groupCount, String newChangeId) {
        Map<String, Integer> next = new TreeMap<>(groups);
        int[] sizes = new int[groupCount];
        next.values().stream().filter(group -> group < groupCount).forEach(group -> sizes[group]++);
        Map<String, int[]> racks = new HashMap<>();
        for (WorkerInfo worker : listed) {
            Integer group = next.get(worker.id());
            if (group != null && group < groupCount) {
                racks.computeIfAbsent(worker.rack(), rack -> new int[groupCount])[group]++;
            }
        }
        listed.stream()
                .filter(worker -> !next.containsKey(worker.id()))
                .sorted(Comparator.comparing(WorkerInfo::rack).thenComparing(WorkerInfo::id))
                .forEach(worker -> {
                    int[] rack = racks.computeIfAbsent(worker.rack(), name -> new int[groupCount]);
                    int group = smallest(rack, sizes);
                    rack[group]++;
                    sizes[group]++;
                    next.put(worker.id(), group);
                });
        return new WorkerAssignment(next, newChangeId);
    }

    private static int smallest(int[] rack, int[] sizes) {
        return IntStream.range(0, sizes.length)
                .boxed()
                .min(Comparator.<Integer>comparingInt(group -> rack[group]).thenComparingInt(group -> sizes[group]))
                .orElseThrow();
    }
}
