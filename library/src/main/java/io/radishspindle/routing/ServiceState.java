package io.radishspindle.routing;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.ServiceLoad;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;

/** Executors, peers and queue of one service. Belongs to one {@link RoutingCore}; not thread-safe. */
final class ServiceState {
    /** How long a service may have no usable slot before new requests are refused, in milliseconds. */
    private static final long NO_CAPACITY_GRACE_MS = 2_000;

    final String name;
    final CallerCosts costs = new CallerCosts();
    final RequestQueue queue;
    final RetryBudget retryBudget;
    final OutlierDetector outliers;
    final PeerTable peers;
    final SlotReserve reserve;
    private final RoutingOptions options;
    private final UniformRandomProvider random;
    private final Map<String, EndpointState> executors = new TreeMap<>();
    private boolean known;
    private long lastUsableAtMs = Long.MIN_VALUE;

    ServiceState(String name, RoutingOptions options, UniformRandomProvider random, RoutingStats stats) {
        this.name = name;
        this.options = options;
        this.random = random;
        queue = new RequestQueue(costs, options);
        retryBudget = new RetryBudget(options);
        outliers = new OutlierDetector(executors.values(), options, stats);
        peers = new PeerTable(options, random);
        reserve = new SlotReserve(options);
    }

    /** Applies a view; {@code endpoints} are those of this service in all data centres. */
    void update(MembershipView view, List<Endpoint> endpoints, SlotTable slots) {
        known = !endpoints.isEmpty();
        executors.values().forEach(e -> e.listed = false);
        for (Endpoint endpoint : endpoints) {
            if (endpoint.dataCentre().equals(view.self().dataCentre())) {
                updateExecutor(endpoint, slots, view.self().id());
            }
        }
        executors.values().removeIf(e -> !e.listed && e.inUse == 0);
        peers.update(view, endpoints, slots, name);
    }

    private void updateExecutor(Endpoint endpoint, SlotTable slots, String self) {
        EndpointState state = executors.get(endpoint.id());
        if (state == null) {
            state = new EndpointState(endpoint);
            executors.put(endpoint.id(), state);
        }
        state.endpoint = endpoint;
        state.listed = true;
        boolean split = options.has(Safeguard.SLOT_SPLIT);
        state.assignedSlots = split ? slots.slots(endpoint, self) : endpoint.slots();
        state.connectionShare = split ? slots.connectionShare(endpoint) : endpoint.connections();
    }

    Iterable<EndpointState> executors() {
        return executors.values();
    }

    @Nullable
    EndpointState executor(String id) {
        return executors.get(id);
    }

    boolean isKnown() {
        return known;
    }

    int capacity(long nowMs) {
        int sum = 0;
        for (EndpointState executor : executors.values()) {
            sum += executor.capacity(nowMs);
        }
        return sum;
    }

    /** True if neither this VM nor a peer has had a slot for {@link #NO_CAPACITY_GRACE_MS}. */
    boolean isUnusable(long nowMs) {
        if (lastUsableAtMs == Long.MIN_VALUE || capacity(nowMs) > 0 || peers.hasSlots()) {
            lastUsableAtMs = nowMs;
        }
        return nowMs - lastUsableAtMs > NO_CAPACITY_GRACE_MS;
    }

    ServiceLoad load(long nowMs) {
        int free = 0;
        for (EndpointState executor : executors.values()) {
            free += executor.freeSlots(nowMs);
        }
        return new ServiceLoad(name, free, queue.size());
    }

    /** The usable executor with the lowest share of used slots; executors that the request has tried come last. */
    @Nullable
    EndpointState pick(Request request, long nowMs) {
        if (reserve.isDeferred(request, queue, load(nowMs).freeSlots(), capacity(nowMs), nowMs)) {
            return null;
        }
        List<EndpointState> best = new ArrayList<>();
        double bestScore = Double.POSITIVE_INFINITY;
        for (EndpointState executor : executors.values()) {
            if (executor.freeSlots(nowMs) == 0) {
                continue;
            }
            double score = (double) executor.inUse / executor.capacity(nowMs);
            if (request.triedEndpoints.contains(executor.id())) {
                score += 1;
            }
            if (score < bestScore) {
                best.clear();
                bestScore = score;
            }
            if (score == bestScore) {
                best.add(executor);
            }
        }
        return best.isEmpty() ? null : best.get(random.nextInt(best.size()));
    }

    @Nullable
    String forwardTarget(Request request, long nowMs) {
        boolean mayHop = request.arrival.hops() == 0 || !options.has(Safeguard.HOP_LIMIT);
        int slots = capacity(nowMs);
        int maxForwards = slots == 0 ? RoutingOptions.MAX_FORWARDS_WITHOUT_SLOTS : RoutingOptions.MAX_FORWARDS;
        if (!mayHop || request.forwards >= maxForwards) {
            return null;
        }
        double backlog = slots == 0 ? Double.POSITIVE_INFINITY : (double) queue.size() / slots;
        double waitMs = slots == 0 ? Double.POSITIVE_INFINITY : backlog * costs.meanMs();
        return peers.select(request, waitMs, backlog);
    }

    /** Expected wait of a new request in milliseconds; 0 if it can be sent at once or nothing is known. */
    double expectedWaitMs(RequestClass requestClass, String caller, long nowMs) {
        int slots = capacity(nowMs);
        if (slots == 0 || (queue.size() == 0 && load(nowMs).freeSlots() > 0)) {
            return 0;
        }
        double bySlotsMs = (queue.servedBefore(requestClass, caller) + 1) * costs.meanMs() / slots;
        return Math.max(bySlotsMs, queue.waitByDeparturesMs(requestClass, caller));
    }

    /** True if a request that has waited is unlikely to be answered in time, so that its slot would be wasted. */
    boolean isExpired(Request request, long nowMs) {
        boolean waited = nowMs > request.arrival.acceptedAtMs() + RoutingOptions.TICK_MS;
        return waited && nowMs + leastRunMs(request.caller()) > request.deadlineAtMs();
    }

    /**
     * Lower estimate of the run time of a caller's request, in milliseconds: half of the average, as run times vary.
     */
    double leastRunMs(String caller) {
        return costs.expectedMs(caller) / 2;
    }

    /** Time in which the slots of this VM serve {@code requests} requests, in milliseconds. */
    double timeToServeMs(int requests, long nowMs) {
        return requests * costs.meanMs() / Math.max(1, capacity(nowMs));
    }
}
