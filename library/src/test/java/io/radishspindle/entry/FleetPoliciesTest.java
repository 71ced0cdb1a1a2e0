package io.radishspindle.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.config.ConfigKey;
import io.radishspindle.config.FleetConfig;
import io.radishspindle.config.FleetException;
import io.radishspindle.config.FleetException.Scope;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.routing.ServiceLimits;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against configuration that is accepted but changes nothing, or goes on after its end. */
class FleetPoliciesTest {
    private static final long END_MS = 1_000;

    @ParameterizedTest
    @CsvSource({
        "WORKER, w1, 999, true",
        "WORKER, w1, 1000, false",
        "DATA_CENTRE, seoul, 999, true",
        "WORKER, w2, 999, false"
    })
    void should_drain_workers_until_the_exception_ends(Scope scope, String target, long nowMs, boolean drained) {
        // given
        FleetConfig fleet = fleet(ConfigKey.ACCEPT_WORK, "false", scope, target);

        // when
        MembershipView view = FleetPolicies.withDrainedWorkers(viewWithWorker("w1"), fleet, nowMs);

        // then
        assertThat(view.workers().get(0).leaving()).isEqualTo(drained);
    }

    @Test
    void should_limit_only_the_service_of_an_exception() {
        // given
        FleetConfig fleet = fleet(ConfigKey.MAX_QUEUED_PER_CALLER, "7", Scope.SERVICE, "previews");

        // when
        var limits = FleetPolicies.serviceLimits(fleet, 0);

        // then
        assertThat(limits.of("previews")).isEqualTo(new ServiceLimits(0.1, 1_000, 7));
        assertThat(limits.of("layout")).isEqualTo(new ServiceLimits(0.1, 1_000, 200));
    }

    private static FleetConfig fleet(ConfigKey key, String value, Scope scope, String target) {
        var exception = new FleetException("e1", key.text(), value, scope, target, "audit", "operator", 0, END_MS);
        return new FleetConfig(1, Map.of(), List.of(exception), List.of());
    }

    private static MembershipView viewWithWorker(String id) {
        var self = new MembershipView.EntryVm("vm", "seoul", "h", 1, MembershipView.Liveness.LIVE, 0, List.of());
        var worker = new MembershipView.Worker(new WorkerInfo(id, "seoul", "r", "h", 2, Resources.NONE), false);
        return new MembershipView(self, List.of(self), List.of(worker), List.of(), Map.of());
    }
}
