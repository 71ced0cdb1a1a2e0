package io.radishspindle.entry;

import io.radishspindle.config.ConfigKey;
import io.radishspindle.config.FleetConfig;
import io.radishspindle.config.FleetException;
import io.radishspindle.config.FleetException.Scope;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.routing.ServiceLimits;
import io.radishspindle.routing.ServiceLimitsTable;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** What the fleet configuration means for requests and workers at a wall-clock time. Stateless and thread-safe. */
final class FleetPolicies {
    private FleetPolicies() {}

    /** Limits of all services; the fleet configuration goes before the settings file of a VM. */
    static ServiceLimitsTable serviceLimits(FleetConfig fleet, long wallMs) {
        ServiceLimits defaults = new ServiceLimits(
                Double.parseDouble(fleet.defaultOf(ConfigKey.RETRY_BUDGET)),
                Integer.parseInt(fleet.defaultOf(ConfigKey.MAX_QUEUED_PER_SERVICE)),
                Integer.parseInt(fleet.defaultOf(ConfigKey.MAX_QUEUED_PER_CALLER)));
        Map<String, ServiceLimits> exceptions = fleet.exceptions().stream()
                .filter(exception -> exception.scope() == Scope.SERVICE && exception.isActiveAt(wallMs))
                .map(FleetException::target)
                .distinct()
                .collect(Collectors.toMap(Function.identity(), service -> limitsOf(fleet, service, wallMs)));
        return new ServiceLimitsTable(defaults, exceptions);
    }

    /** The view in which workers that the configuration drains count as leaving. */
    static MembershipView withDrainedWorkers(MembershipView view, FleetConfig fleet, long wallMs) {
        return new MembershipView(
                view.self(),
                view.entryVms(),
                view.workers().stream()
                        .map(worker -> new MembershipView.Worker(
                                worker.info(), worker.leaving() || !acceptsWork(fleet, worker, wallMs)))
                        .toList(),
                view.endpoints(),
                view.groupOwners());
    }

    private static boolean acceptsWork(FleetConfig fleet, MembershipView.Worker worker, long wallMs) {
        return fleet.acceptsWork(worker.info().id(), worker.info().dataCentre(), wallMs);
    }

    private static ServiceLimits limitsOf(FleetConfig fleet, String service, long wallMs) {
        return new ServiceLimits(
                fleet.retryBudget(service, wallMs),
                fleet.maxQueuedPerService(service, wallMs),
                fleet.maxQueuedPerCaller(service, wallMs));
    }
}
