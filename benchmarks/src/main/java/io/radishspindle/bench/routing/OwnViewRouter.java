package io.radishspindle.bench.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * Baseline: each VM sees only its own requests, keeps one first-come first-served queue, and tries again after
 * "busy". Not thread-safe.
 */
final class OwnViewRouter implements RequestRouter {
    private static final int MAX_QUEUED = 1_000;
    /** How long a VM leaves an executor alone that answered "busy"; the same as in the routing core. */
    private static final long BUSY_PAUSE_MS = 20;

    /** One entry VM. */
    private final class Vm {
        final ArrayDeque<Arrival> queue = new ArrayDeque<>();
        final List<Integer> near;
        final int[] inUse = new int[world.executors()];
        final long[] busyUntilMs = new long[world.executors()];
        final ExecutorChoice choice;

        Vm(int index, ExecutorChoice choice) {
            near = world.executorsOf(index);
            this.choice = choice;
            Arrays.fill(busyUntilMs, Long.MIN_VALUE);
        }

        void dispatch() {
            while (!queue.isEmpty()) {
                if (queue.getFirst().deadlineAtMs() <= world.nowMs()) {
                    world.figures.refused(queue.removeFirst());
                    continue;
                }
                List<Integer> free = near.stream()
                        .filter(e -> inUse[e] < ReplayWorld.SLOTS && busyUntilMs[e] <= world.nowMs())
                        .toList();
                if (free.isEmpty()) {
                    return;
                }
                send(queue.removeFirst(), choice.choose(free, inUse));
            }
        }

        private void send(Arrival arrival, int executor) {
            inUse[executor]++;
            world.send(arrival, executor, outcome -> {
                inUse[executor]--;
                if (outcome == ReplayWorld.Outcome.BUSY) {
                    busyUntilMs[executor] = world.nowMs() + BUSY_PAUSE_MS;
                    queue.addFirst(arrival);
                    world.after(BUSY_PAUSE_MS, this::dispatch);
                }
                dispatch();
            });
        }
    }

    private final ReplayWorld world;
    private final List<Vm> vms = new ArrayList<>();

    OwnViewRouter(ReplayWorld world, Supplier<ExecutorChoice> choices) {
        this.world = world;
        for (int i = 0; i < world.vms(); i++) {
            vms.add(new Vm(i, choices.get()));
        }
    }

    @Override
    public void start() {
        // No timers: a baseline acts on arrivals and answers only.
    }

    @Override
    public void arrive(Arrival arrival) {
        Vm vm = vms.get(arrival.vm());
        if (vm.queue.size() >= MAX_QUEUED) {
            world.figures.refused(arrival);
            return;
        }
        vm.queue.addLast(arrival);
        vm.dispatch();
    }
}
