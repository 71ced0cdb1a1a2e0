package io.radishspindle.soak;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.ownership.DataCentreCore;
import io.radishspindle.ownership.OwnershipAction;
import io.radishspindle.ownership.OwnershipEvent;
import io.radishspindle.ownership.OwnershipTiming;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.WorkerClient;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.IntStream;

/** An entry VM: the real ownership core with a fake membership. Not thread-safe. */
final class EntryVm extends Node {
    static final String DATA_CENTRE = "dc1";
    private static final long SUSPECT_MS = 1_000;
    private static final long DEAD_MS = 3_000;
    private static final long STORE_TIMEOUT_MS = 1_000;

    private record Heard(long atMs, List<GroupSummary> groups) {}

    /** What all VMs of a run share. */
    record Surroundings(
            Simulation sim,
            Network network,
            FakeStore store,
            Map<String, FakeWorker> workers,
            OwnershipTiming timing,
            int groups,
            LongFunction<GroupPlacement> placements,
            MetricRegistry metrics) {}

    private final Surroundings world;
    private final List<String> peers;
    private final Map<String, Heard> heard = new HashMap<>();
    private final Map<Long, Consumer<Either<Failure, JobStatus>>> requests = new HashMap<>();
    private DataCentreCore core;
    private long lastRequest;

    EntryVm(String id, List<String> peers, Surroundings world) {
        super(id, world.sim());
        this.world = world;
        this.peers = List.copyOf(peers);
        this.core = newCore();
    }

    @Override
    void kill() {
        super.kill();
        requests.clear();
        heard.clear();
    }

    @Override
    void restart() {
        if (!isAlive()) {
            core = newCore();
        }
        super.restart();
    }

    void tick() {
        run(incarnation(), () -> handle(new OwnershipEvent.Tick()));
    }

    void hear(String from, List<GroupSummary> groups) {
        heard.put(from, new Heard(sim.now(), groups));
    }

    List<GroupSummary> summaries() {
        return core.summaries();
    }

    void updateView() {
        run(incarnation(), () -> handle(new OwnershipEvent.ViewChanged(view())));
    }

    void release() {
        run(incarnation(), () -> handle(new OwnershipEvent.ReleaseRequested()));
    }

    /** The VM that this VM believes to own the group and be able to start tasks. */
    Optional<String> ownerOf(String group) {
        return Optional.ofNullable(view().groupOwners().get(group))
                .filter(owned -> owned.summary().ready())
                .map(MembershipView.OwnedGroup::ownerVm);
    }

    void submit(String group, JobSpec job, Consumer<Either<Failure, JobStatus>> done) {
        lastRequest++;
        requests.put(lastRequest, done);
        handle(new OwnershipEvent.SubmitRequested(lastRequest, group, 0, job));
    }

    void cancel(String jobId) {
        lastRequest++;
        requests.put(lastRequest, result -> sim.note("cancel " + jobId + " " + result));
        handle(new OwnershipEvent.CancelRequested(lastRequest, jobId, "soak"));
    }

    Optional<JobStatus> status(String jobId) {
        if (!isAlive()) {
            return Optional.empty();
        }
        return IntStream.range(0, world.groups())
                .mapToObj(index -> core.status(DATA_CENTRE + "/g" + index, jobId, 0))
                .filter(Either::isRight)
                .map(Either::get)
                .findFirst();
    }

    private DataCentreCore newCore() {
        return new DataCentreCore(
                id,
                DATA_CENTRE,
                world.groups(),
                world.timing(),
                sim.now() * 1_000 + 1,
                world.placements(),
                world.metrics());
    }

    private MembershipView view() {
        List<MembershipView.EntryVm> vms = new ArrayList<>();
        Map<String, MembershipView.OwnedGroup> owners = new TreeMap<>();
        for (String peer : peers) {
            Liveness liveness = liveness(peer);
            vms.add(new MembershipView.EntryVm(peer, DATA_CENTRE, "", 0, liveness, 0, List.of()));
            List<GroupSummary> groups = announced(peer, liveness);
            for (GroupSummary summary : groups) {
                owners.merge(
                        summary.group(),
                        new MembershipView.OwnedGroup(peer, summary),
                        (a, b) -> a.summary().epoch() >= b.summary().epoch() ? a : b);
            }
        }
        List<MembershipView.Worker> workers = world.workers().values().stream()
                .map(worker -> new MembershipView.Worker(worker.info, false))
                .toList();
        MembershipView.EntryVm self = vms.get(peers.indexOf(id));
        return new MembershipView(self, vms, workers, List.of(), owners);
    }

    private List<GroupSummary> announced(String peer, Liveness liveness) {
        if (peer.equals(id)) {
            return core.summaries();
        }
        Heard last = heard.get(peer);
        return last == null || liveness == Liveness.DEAD ? List.of() : last.groups();
    }

    private Liveness liveness(String peer) {
        if (peer.equals(id)) {
            return Liveness.LIVE;
        }
        Heard last = heard.get(peer);
        if (last == null || sim.now() - last.atMs() > DEAD_MS) {
            return Liveness.DEAD;
        }
        return sim.now() - last.atMs() > SUSPECT_MS ? Liveness.SUSPECT : Liveness.LIVE;
    }

    private void handle(OwnershipEvent event) {
        core.handle(sim.now(), event).forEach(this::perform);
    }

    private void perform(OwnershipAction action) {
        Network network = world.network();
        FakeStore store = world.store();
        if (action instanceof OwnershipAction.SendControl send) {
            sendControl(send);
        } else if (action instanceof OwnershipAction.ReadKey read) {
            network.<Store.Entry>call(
                    this,
                    store,
                    STORE_TIMEOUT_MS,
                    answer -> store.get(read.key(), answer),
                    result -> handle(new OwnershipEvent.KeyRead(read.call(), result)));
        } else if (action instanceof OwnershipAction.ListKeys list) {
            network.<List<Store.Entry>>call(
                    this,
                    store,
                    STORE_TIMEOUT_MS,
                    answer -> store.list(list.prefix(), answer),
                    result -> handle(new OwnershipEvent.KeysListed(list.call(), result)));
        } else if (action instanceof OwnershipAction.WriteKey write) {
            network.<Long>call(
                    this,
                    store,
                    STORE_TIMEOUT_MS,
                    answer -> store.put(write.key(), write.value(), write.expectedVersion(), answer),
                    result -> handle(new OwnershipEvent.KeyWritten(write.call(), result)));
        } else if (action instanceof OwnershipAction.Answer answer) {
            Consumer<Either<Failure, JobStatus>> done = requests.remove(answer.request());
            if (done != null) {
                done.accept(answer.result());
            }
        }
    }

    private void sendControl(OwnershipAction.SendControl send) {
        long sentAt = sim.now();
        FakeWorker worker = world.workers().get(send.worker().id());
        if (worker == null) {
            return;
        }
        world.network()
                .<WorkerClient.ControlReply>call(
                        this,
                        worker,
                        send.timeoutMs(),
                        answer -> answer.accept(Either.right(worker.control(send.request()))),
                        result -> handle(new OwnershipEvent.ControlAnswered(send.call(), sentAt, result)));
    }
}
