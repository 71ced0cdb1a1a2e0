package io.radishspindle.soak;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.ownership.OwnershipTiming;
import io.radishspindle.placement.GroupPlacement;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.IntStream;

/** One data centre: entry VMs, workers in racks, the store, a submitter, and the history. Not thread-safe. */
final class Cell {
    private static final int GROUPS = 2;
    /** Small, so that a store outage of a minute reaches it. */
    private static final int MAX_UNJOURNALLED = 60;

    private static final int RACKS = 4;
    private static final long TICK_MS = 50;
    private static final long HEARTBEAT_MS = 250;
    private static final long SUBMIT_TIMEOUT_MS = 20_000;

    final Simulation sim;
    final Network network;
    final FakeStore store;
    final List<EntryVm> vms = new ArrayList<>();
    final List<FakeWorker> workers = new ArrayList<>();
    final List<HistoryEvent> history = new ArrayList<>();
    final MetricRegistry metrics = new MetricRegistry();
    private final List<String> open = new ArrayList<>();
    private final Map<String, String> groupOf = new HashMap<>();
    private long paceMs = 400;
    private boolean submitting = true;
    private int lastJob;

    Cell(Simulation sim, Set<Mechanism> off, int vmCount, int workerCount, LongFunction<GroupPlacement> placements) {
        this.sim = sim;
        this.network = new Network(sim);
        this.store = new FakeStore(sim, off);
        Map<String, FakeWorker> byId = new LinkedHashMap<>();
        for (int i = 0; i < workerCount; i++) {
            Resources capacity = new Resources(4_000, 8_192, i % 3 == 0 ? 2 : 0);
            WorkerInfo info = new WorkerInfo("w" + i, EntryVm.DATA_CENTRE, "rack" + i % RACKS, "", 0, capacity);
            FakeWorker worker = new FakeWorker(info, sim, off, history::add);
            workers.add(worker);
            byId.put(worker.id, worker);
            sim.every(20, () -> worker.run(worker.incarnation(), worker::advance));
        }
        OwnershipTiming timing = new OwnershipTiming(
                1_000,
                3_000,
                6_000,
                1_000,
                off.contains(Mechanism.OPEN_TASK_WAIT) ? 0 : 13_000,
                off.contains(Mechanism.OPEN_TASK_WAIT) ? 0 : 10_000,
                MAX_UNJOURNALLED,
                !off.contains(Mechanism.CARETAKER_MAJORITY));
        EntryVm.Surroundings world =
                new EntryVm.Surroundings(sim, network, store, byId, timing, GROUPS, placements, metrics);
        List<String> ids = IntStream.range(0, vmCount).mapToObj(i -> "vm" + i).toList();
        ids.forEach(id -> vms.add(new EntryVm(id, ids, world)));
        vms.forEach(this::startTimers);
        submitLater();
    }

    /** Sets the pause between submissions. */
    void setPace(long ms) {
        paceMs = ms;
    }

    /** The group to which a job was submitted. */
    String groupOf(String jobId) {
        return groupOf.getOrDefault(jobId, "");
    }

    private void submitLater() {
        sim.after(paceMs, () -> {
            submit();
            submitLater();
        });
    }

    void stopSubmitting() {
        submitting = false;
    }

    /** Sends cancellations for a third of the jobs that were accepted lately. */
    void cancelSome() {
        for (String job : List.copyOf(open)) {
            if (sim.chance(0.33)) {
                history.add(new HistoryEvent.CancelSent(sim.now(), job));
                vms.stream().filter(Node::isAlive).forEach(vm -> vm.run(vm.incarnation(), () -> vm.cancel(job)));
            }
        }
    }

    /** Asks for the final phase of each job. */
    void recordPhases() {
        for (int i = 1; i <= lastJob; i++) {
            String id = "j" + i;
            Optional<JobStatus> status =
                    vms.stream().flatMap(vm -> vm.status(id).stream()).findFirst();
            status.ifPresent(found -> history.add(new HistoryEvent.FinalPhase(sim.now(), id, found.phase())));
        }
    }

    private void startTimers(EntryVm vm) {
        sim.every(TICK_MS, vm::tick);
        sim.every(
                HEARTBEAT_MS,
                () -> vm.run(vm.incarnation(), () -> {
                    List<GroupSummary> groups = vm.summaries();
                    for (EntryVm peer : vms) {
                        if (peer != vm) {
                            network.send(vm, peer, () -> peer.hear(vm.id, groups));
                        }
                    }
                    vm.updateView();
                }));
    }

    private void submit() {
        EntryVm vm = vms.get(sim.random.nextInt(vms.size()));
        if (!submitting || !vm.isAlive() || vm.isPaused()) {
            return;
        }
        String group = EntryVm.DATA_CENTRE + "/g" + sim.random.nextInt(GROUPS);
        Optional<EntryVm> owner = vm.ownerOf(group).flatMap(this::find);
        if (owner.isEmpty()) {
            return;
        }
        JobSpec job = newJob();
        history.add(new HistoryEvent.Submitted(sim.now(), job));
        groupOf.put(job.id(), group);
        EntryVm target = owner.get();
        network.<JobStatus>call(
                vm,
                target,
                SUBMIT_TIMEOUT_MS,
                answer -> target.submit(group, job, answer::accept),
                result -> answered(job, result));
    }

    private Optional<EntryVm> find(String id) {
        return vms.stream().filter(vm -> vm.id.equals(id)).findFirst();
    }

    private void answered(JobSpec job, Either<Failure, JobStatus> result) {
        HistoryEvent.Verdict verdict = result.isRight()
                ? HistoryEvent.Verdict.ACCEPTED
                : result.getLeft().notRun() ? HistoryEvent.Verdict.NOT_RUN : HistoryEvent.Verdict.UNKNOWN;
        sim.note("submit " + job.id() + " " + verdict);
        history.add(new HistoryEvent.Answered(sim.now(), job.id(), verdict));
        if (verdict == HistoryEvent.Verdict.ACCEPTED) {
            open.add(job.id());
            if (open.size() > 30) {
                open.remove(0);
            }
        }
    }

    private JobSpec newJob() {
        lastJob++;
        Resources size = new Resources(sim.between(200, 2_000), sim.between(100, 3_000), sim.chance(0.1) ? 1 : 0);
        long runMs = sim.chance(0.15) ? sim.between(5_000, 25_000) : sim.between(200, 4_000);
        return new JobSpec(
                "j" + lastJob,
                "team" + lastJob % 3,
                "family" + lastJob % 7,
                JobClass.BATCH,
                (int) sim.between(1, 3),
                size,
                runMs,
                1_000,
                Map.of("run-ms", Long.toString(runMs)));
    }
}
