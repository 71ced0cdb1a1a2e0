package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.membership.ServiceLoad;
import io.radishspindle.settings.EntrySettings;
import java.util.List;
import java.util.Map;

/** Settings and views for tests. */
final class RoutingTestData {
    static final String SERVICE = "layout";

    private RoutingTestData() {}

    static EntrySettings.Routing routing() {
        return new EntrySettings.Routing(10_000, 60_000, 1_000, 200, 1_000_000, 3, 0.1, 50, 1_000, 30_000);
    }

    static EntrySettings settings(String vm, EntrySettings.Routing routing) {
        return new EntrySettings(
                new EntrySettings.Vm(vm, "dc1", "r1", "127.0.0.1"),
                new EntrySettings.Listen(0, 0, 0),
                new EntrySettings.Peers(
                        List.of(), List.of("dc1:r1", "dc2:r1", "dc3:r2"), "test", 250, 1_000, 1_000, 3_000),
                new EntrySettings.Platform("127.0.0.1", 1, "127.0.0.1", 1, 1_000, 1_000),
                new EntrySettings.Ownership(2, 1_000, 3_000, 6_000, 1_000),
                routing);
    }

    static RoutingOptions options() {
        return RoutingOptions.of(settings("vm1", routing()));
    }

    static EntryVm vm(String id, String dataCentre, ServiceLoad... loads) {
        return new EntryVm(id, dataCentre, "127.0.0.1", 1, Liveness.LIVE, 1, List.of(loads));
    }

    static Endpoint endpoint(String id, String dataCentre, int port, int slots) {
        return new Endpoint(id, SERVICE, dataCentre, "127.0.0.1", port, slots, 64, Liveness.LIVE);
    }

    static MembershipView view(EntryVm self, List<EntryVm> vms, List<Endpoint> endpoints) {
        return new MembershipView(self, vms, List.of(), endpoints, Map.of());
    }
}
