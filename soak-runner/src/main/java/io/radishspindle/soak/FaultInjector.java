package io.radishspindle.soak;

import java.util.ArrayList;
import java.util.List;

/** Draws faults from the seed, one or two at a time, and heals each after a while. Not thread-safe. */
final class FaultInjector {
    private final Simulation sim;
    private final Cell cell;
    private final List<Fault> kinds;
    private final List<String> schedule = new ArrayList<>();
    private final long endMs;

    FaultInjector(Cell cell, List<Fault> kinds, long endMs) {
        this.sim = cell.sim;
        this.cell = cell;
        this.kinds = List.copyOf(kinds);
        this.endMs = endMs;
    }

    List<String> schedule() {
        return schedule;
    }

    void start() {
        if (!kinds.isEmpty()) {
            sim.after(sim.between(5_000, 15_000), this::next);
        }
    }

    private void next() {
        if (sim.now() >= endMs) {
            return;
        }
        int count = sim.chance(0.5) ? 2 : 1;
        for (int i = 0; i < count; i++) {
            sim.after(sim.between(0, 3_000), this::inject);
        }
        sim.after(sim.between(3_000, 30_000), this::next);
    }

    private void inject() {
        Fault kind = kinds.get(sim.random.nextInt(kinds.size()));
        EntryVm vm = pick(cell.vms);
        FakeWorker worker = pick(cell.workers);
        long lasts = sim.chance(0.3) ? sim.between(10_000, 45_000) : sim.between(200, 10_000);
        inject(kind, vm, worker, Math.min(lasts, Math.max(1, endMs + 5_000 - sim.now())));
    }

    private void inject(Fault kind, EntryVm vm, FakeWorker worker, long lasts) {
        schedule.add(sim.now() + " ms: " + kind.title() + " " + vm.id + " " + worker.id + " for " + lasts + " ms");
        sim.note("fault " + kind.title() + " " + vm.id + " " + worker.id + " for " + lasts + " ms");
        switch (kind) {
            case VM_KILL -> forAWhile(vm::kill, vm::restart, lasts);
            case VM_PAUSE -> forAWhile(vm::pause, vm::resume, lasts);
            case VM_RELEASE -> release(vm, lasts);
            case VM_WORKER_PARTITION -> partitionWorkers(vm, true, true, lasts);
            case VM_WORKER_ONE_WAY -> partitionWorkers(vm, true, false, lasts);
            case WORKER_VM_ONE_WAY -> partitionWorkers(vm, false, true, lasts);
            case VM_VM_PARTITION ->
                cell.vms.stream().filter(peer -> peer != vm).forEach(peer -> cutFor(vm, peer, true, true, lasts));
            case SPLIT -> split(lasts * 2);
            case VM_STORE_PARTITION -> cutFor(vm, cell.store, true, true, lasts);
            case STORE_OUT -> storeFor(FakeStore.Condition.OUT, lasts * 2);
            case STORE_SLOW -> storeFor(FakeStore.Condition.SLOW, lasts);
            case STORE_LOSES_ANSWERS -> storeFor(FakeStore.Condition.LOSES_ANSWERS, lasts);
            case WORKER_KILL -> forAWhile(worker::kill, worker::restart, lasts);
            case WORKER_PAUSE -> forAWhile(worker::pause, worker::resume, lasts);
            case WORKER_FAILS_ALL -> forAWhile(() -> worker.setFailAll(true), () -> worker.setFailAll(false), lasts);
            case NETWORK_SLOW -> forAWhile(() -> cell.network.setSlow(true), () -> cell.network.setSlow(false), lasts);
            case CANCELLATIONS -> cell.cancelSome();
        }
    }

    private void release(EntryVm vm, long lasts) {
        vm.release();
        sim.after(2_000, () -> forAWhile(vm::kill, vm::restart, lasts));
    }

    private void storeFor(FakeStore.Condition condition, long lasts) {
        forAWhile(
                () -> cell.store.setCondition(condition),
                () -> cell.store.setCondition(FakeStore.Condition.GOOD),
                lasts);
    }

    /** Cuts a VM off from all workers or from a random part of them. */
    private void partitionWorkers(EntryVm vm, boolean there, boolean back, long lasts) {
        boolean all = sim.chance(0.3);
        for (FakeWorker worker : cell.workers) {
            if (all || sim.chance(0.5)) {
                cutFor(vm, worker, there, back, lasts);
            }
        }
    }

    private void split(long lasts) {
        List<Node> all = new ArrayList<>(cell.vms);
        all.addAll(cell.workers);
        all.add(cell.store);
        double share = 0.2 + 0.6 * sim.random.nextDouble();
        List<Node> side = all.stream().filter(node -> sim.chance(share)).toList();
        for (Node a : side) {
            for (Node b : all) {
                if (!side.contains(b)) {
                    cutFor(a, b, true, true, lasts);
                }
            }
        }
    }

    private void cutFor(Node a, Node b, boolean there, boolean back, long lasts) {
        forAWhile(
                () -> {
                    if (there) {
                        cell.network.cut(a.id, b.id);
                    }
                    if (back) {
                        cell.network.cut(b.id, a.id);
                    }
                },
                () -> {
                    cell.network.heal(a.id, b.id);
                    cell.network.heal(b.id, a.id);
                },
                lasts);
    }

    private void forAWhile(Runnable begin, Runnable end, long lasts) {
        begin.run();
        sim.after(lasts, end);
    }

    private <T> T pick(List<T> from) {
        return from.get(sim.random.nextInt(from.size()));
    }
}
