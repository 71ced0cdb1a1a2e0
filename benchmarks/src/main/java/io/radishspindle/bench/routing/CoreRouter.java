package io.radishspindle.bench.routing;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.routing.AttemptOutcome;
import io.radishspindle.routing.RoutingAction;
import io.radishspindle.routing.RoutingCore;
import io.radishspindle.routing.RoutingEvent;
import io.radishspindle.routing.RoutingOptions;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;

/**
 * Runs one {@link RoutingCore} per entry VM; views with the loads of the peers arrive every 250 ms. Not thread-safe.
 */
final class CoreRouter implements RequestRouter {
    private static final String SERVICE = "layout";
    private static final long VIEW_MS = 250;
    private static final int BODY_BYTES = 2_000;

    /** A request at a VM, with whom to tell about its end. */
    private record Local(Arrival arrival, Consumer<AttemptOutcome> end) {}

    /** One entry VM. */
    private final class Vm {
        final int index;
        final RoutingCore core;
        final Map<Long, Local> requests = new HashMap<>();
        long nextId;

        Vm(int index, long seed) {
            this.index = index;
            core = new RoutingCore(options, seed);
        }

        void feed(RoutingEvent event) {
            core.handle(world.nowMs(), event).forEach(this::perform);
        }

        void submit(Arrival arrival, int hops, Consumer<AttemptOutcome> end) {
            long id = ++nextId;
            requests.put(id, new Local(arrival, end));
            feed(new RoutingEvent.RequestArrived(
                    id,
                    SERVICE,
                    arrival.caller(),
                    arrival.requestClass(),
                    false,
                    world.nowMs(),
                    arrival.deadlineAtMs(),
                    BODY_BYTES,
                    hops));
        }

        private void perform(RoutingAction action) {
            if (action instanceof RoutingAction.SendToExecutor send) {
                Local local = local(send.requestId());
                int executor = Integer.parseInt(send.endpointId().substring(1));
                world.send(
                        local.arrival(),
                        executor,
                        outcome -> completed(
                                send.requestId(),
                                send.attempt(),
                                outcome == ReplayWorld.Outcome.BUSY
                                        ? new AttemptOutcome.Busy(false)
                                        : new AttemptOutcome.Answered(200, false)));
            } else if (action instanceof RoutingAction.ForwardToPeer forward) {
                forward(forward);
            } else if (action instanceof RoutingAction.Deliver deliver) {
                finish(deliver.requestId(), new AttemptOutcome.Answered(200, false));
            } else if (action instanceof RoutingAction.Refuse refuse) {
                finish(refuse.requestId(), new AttemptOutcome.Failed(refuse.failure()));
            } else if (action instanceof RoutingAction.Probe probe) {
                world.after(
                        2 * ReplayWorld.HOP_MS,
                        () -> feed(new RoutingEvent.ProbeCompleted(
                                probe.endpointId(), probe.sentAtMs(), RoutingEvent.ProbeResult.LIVE)));
            }
        }

        private void forward(RoutingAction.ForwardToPeer action) {
            Vm peer = vms.get(Integer.parseInt(action.vmId().substring(2)));
            Arrival arrival = local(action.requestId()).arrival();
            long hopMs = hopMs(index, peer.index);
            world.after(
                    hopMs,
                    () -> peer.submit(
                            arrival,
                            1,
                            outcome -> world.after(
                                    hopMs, () -> completed(action.requestId(), action.attempt(), outcome))));
        }

        private void completed(long requestId, int attempt, AttemptOutcome outcome) {
            feed(new RoutingEvent.AttemptCompleted(requestId, attempt, outcome));
        }

        private Local local(long requestId) {
            return Objects.requireNonNull(requests.get(requestId));
        }

        private void finish(long requestId, AttemptOutcome outcome) {
            Local local = local(requestId);
            requests.remove(requestId);
            local.end().accept(outcome);
        }
    }

    private final ReplayWorld world;
    private final RoutingOptions options;
    private final List<Vm> vms = new ArrayList<>();

    CoreRouter(ReplayWorld world, RoutingOptions options, long seed) {
        this.world = world;
        this.options = options;
        for (int i = 0; i < world.vms(); i++) {
            vms.add(new Vm(i, seed + i));
        }
    }

    @Override
    public void start() {
        vms.forEach(this::refreshView);
        vms.forEach(this::tick);
    }

    @Override
    public void arrive(Arrival arrival) {
        vms.get(arrival.vm()).submit(arrival, 0, outcome -> {
            if (outcome instanceof AttemptOutcome.Failed failed
                    && failed.failure().notRun()) {
                world.figures.refused(arrival);
            }
        });
    }

    private void tick(Vm vm) {
        vm.feed(new RoutingEvent.Tick());
        world.after(RoutingOptions.TICK_MS, () -> tick(vm));
    }

    private void refreshView(Vm vm) {
        vm.feed(new RoutingEvent.ViewChanged(view(vm.index)));
        world.after(VIEW_MS, () -> refreshView(vm));
    }

    private MembershipView view(int self) {
        List<EntryVm> entryVms = new ArrayList<>();
        for (Vm vm : vms) {
            entryVms.add(new EntryVm(
                    "vm" + vm.index,
                    world.vmDataCentre(vm.index),
                    "",
                    1,
                    Liveness.LIVE,
                    1,
                    vm.core.loads(world.nowMs())));
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < world.executors(); i++) {
            String dataCentre = world.executorDataCentre(i);
            endpoints.add(new Endpoint("e" + i, SERVICE, dataCentre, "", 1, ReplayWorld.SLOTS, 64, Liveness.LIVE));
        }
        return new MembershipView(entryVms.get(self), entryVms, List.of(), endpoints, Map.of());
    }

    private long hopMs(int from, int to) {
        String fromRegion = options.regions().get(world.vmDataCentre(from));
        String toRegion = options.regions().get(world.vmDataCentre(to));
        boolean sameRegion = fromRegion != null && fromRegion.equals(toRegion);
        return sameRegion ? ReplayWorld.HOP_MS : ReplayWorld.REGION_HOP_MS;
    }
}
