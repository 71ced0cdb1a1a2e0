package io.radishspindle.bench.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;

/**
 * Executors and time of a replay. An executor counts its slots and answers "busy" when none is free. Not thread-safe.
 */
final class ReplayWorld {
    /** One way between an entry VM and an executor or peer of its data centre, in milliseconds. */
    static final long HOP_MS = 1;
    /** One way between regions, in milliseconds. */
    static final long REGION_HOP_MS = 8;

    static final int SLOTS = 8;

    /** What an executor answered. */
    enum Outcome {
        DONE,
        BUSY
    }

    private record Task(long atMs, long order, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::order));
    private final List<String> executorDataCentres;
    private final List<String> vmDataCentres;
    private final int[] inUse;
    final ReplayFigures figures = new ReplayFigures();
    private long nowMs;
    private long order;

    ReplayWorld(List<String> executorDataCentres, List<String> vmDataCentres) {
        this.executorDataCentres = List.copyOf(executorDataCentres);
        this.vmDataCentres = List.copyOf(vmDataCentres);
        inUse = new int[executorDataCentres.size()];
    }

    long nowMs() {
        return nowMs;
    }

    int vms() {
        return vmDataCentres.size();
    }

    int executors() {
        return inUse.length;
    }

    String vmDataCentre(int vm) {
        return vmDataCentres.get(vm);
    }

    String executorDataCentre(int executor) {
        return executorDataCentres.get(executor);
    }

    /** Executors that a VM may connect to. */
    List<Integer> executorsOf(int vm) {
        List<Integer> near = new ArrayList<>();
        for (int i = 0; i < inUse.length; i++) {
            if (executorDataCentres.get(i).equals(vmDataCentres.get(vm))) {
                near.add(i);
            }
        }
        return near;
    }

    void after(long delayMs, Runnable action) {
        tasks.add(new Task(nowMs + delayMs, order++, action));
    }

    /** Sends a request to an executor and reports its answer. */
    void send(Arrival arrival, int executor, Consumer<Outcome> answer) {
        after(HOP_MS, () -> {
            if (inUse[executor] >= SLOTS) {
                figures.busy();
                after(HOP_MS, () -> answer.accept(Outcome.BUSY));
                return;
            }
            figures.started(arrival, nowMs - arrival.atMs());
            inUse[executor]++;
            after(arrival.runMs(), () -> {
                inUse[executor]--;
                after(HOP_MS, () -> answer.accept(Outcome.DONE));
            });
        });
    }

    /** Runs all requests through the router. */
    void replay(List<Arrival> arrivals, RequestRouter router, long durationMs) {
        router.start();
        for (Arrival arrival : arrivals) {
            after(arrival.atMs(), () -> router.arrive(arrival));
        }
        while (!tasks.isEmpty() && tasks.peek().atMs() <= durationMs) {
            Task task = tasks.remove();
            nowMs = task.atMs();
            task.action().run();
        }
    }
}
