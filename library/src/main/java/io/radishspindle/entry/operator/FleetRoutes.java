package io.radishspindle.entry.operator;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.membership.MembershipView.OwnedGroup;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** Shows VMs, workers, groups and endpoints as this VM knows them. Belongs to one event loop. */
public final class FleetRoutes {
    /**
     * @param answeredBy VM whose knowledge this is
     * @param unreachable VMs from which nothing is heard; what they know is missing or old
     */
    private record Listing(String answeredBy, List<String> unreachable, List<?> items) {}

    /** A worker without its address, which operators don't need. */
    private record WorkerRow(
            String id,
            String dataCentre,
            String rack,
            long milliCores,
            long memoryMib,
            int accelerators,
            boolean leaving) {}

    /** A group; numbers are those of the owner's last heartbeat. */
    private record GroupRow(
            String group,
            String owner,
            Liveness ownerLiveness,
            long epoch,
            boolean ready,
            int queuedTasks,
            long freeMilliCores,
            long freeMemoryMib,
            int freeAccelerators,
            long totalMilliCores,
            long totalMemoryMib,
            int totalAccelerators) {}

    private final Supplier<MembershipView> view;

    public FleetRoutes(Supplier<MembershipView> view) {
        this.view = view;
    }

    /** Adds the routes. */
    public void addRoutes(Router router) {
        router.get("/vms")
                .handler(context -> answer(context, view.get(), view.get().entryVms()));
        router.get("/workers").handler(context -> answer(context, view.get(), workers(view.get())));
        router.get("/groups").handler(context -> answer(context, view.get(), groups(view.get())));
        router.get("/endpoints")
                .handler(context -> answer(context, view.get(), view.get().endpoints()));
    }

    /** Entry VMs that are suspect or dead. */
    static List<String> unreachable(MembershipView view) {
        return view.entryVms().stream()
                .filter(vm -> vm.liveness() == Liveness.SUSPECT || vm.liveness() == Liveness.DEAD)
                .map(EntryVm::id)
                .toList();
    }

    private static void answer(RoutingContext context, MembershipView view, List<?> items) {
        Answers.json(context, new Listing(view.self().id(), unreachable(view), items));
    }

    private static List<WorkerRow> workers(MembershipView view) {
        return view.workers().stream().map(FleetRoutes::row).toList();
    }

    private static WorkerRow row(MembershipView.Worker worker) {
        return new WorkerRow(
                worker.info().id(),
                worker.info().dataCentre(),
                worker.info().rack(),
                worker.info().capacity().milliCores(),
                worker.info().capacity().memoryMib(),
                worker.info().capacity().accelerators(),
                worker.leaving());
    }

    private static List<GroupRow> groups(MembershipView view) {
        return view.groupOwners().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> row(view, entry.getValue()))
                .toList();
    }

    private static GroupRow row(MembershipView view, OwnedGroup owned) {
        Liveness liveness = view.entryVms().stream()
                .filter(vm -> vm.id().equals(owned.ownerVm()))
                .map(EntryVm::liveness)
                .findFirst()
                .orElse(Liveness.DEAD);
        return new GroupRow(
                owned.summary().group(),
                owned.ownerVm(),
                liveness,
                owned.summary().epoch(),
                owned.summary().ready(),
                owned.summary().queuedTasks(),
                owned.summary().free().milliCores(),
                owned.summary().free().memoryMib(),
                owned.summary().free().accelerators(),
                owned.summary().total().milliCores(),
                owned.summary().total().memoryMib(),
                owned.summary().total().accelerators());
    }
}
