package io.radishspindle.entry;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.config.ConfigService;
import io.radishspindle.entry.job.JobApi;
import io.radishspindle.entry.job.JobRouter;
import io.radishspindle.idempotency.StoreKeyedRequests;
import io.radishspindle.ingress.Ingress;
import io.radishspindle.ingress.IngressCapacity;
import io.radishspindle.membership.MembershipService;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.ownership.GroupRuntime;
import io.radishspindle.placement.FairSharePlacement;
import io.radishspindle.placement.PlacementPolicy;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.http.HttpExecutorClient;
import io.radishspindle.platform.http.HttpStore;
import io.radishspindle.platform.http.HttpVmList;
import io.radishspindle.platform.http.HttpWorkerClient;
import io.radishspindle.protocol.TcpPeerMessenger;
import io.radishspindle.routing.RequestService;
import io.radishspindle.routing.ServiceLimitsTable;
import io.radishspindle.settings.EntrySettings;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.Router;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One entry VM: all services of the library, wired together. Created and used on one event loop.
 *
 * <p>Invariant: {@link #stop} finishes requests in flight and gives up the groups before it closes the listeners.
 */
public final class EntryVm {
    /** Closes connections of callers that send nothing for longer than the longest deadline of a request. */
    private static final int CALLER_IDLE_SECONDS = 120;

    private static final long POLICY_REFRESH_MS = 1_000;
    private static final long QUERY_PAUSE_MS = 250;

    private final Vertx vertx;
    private final Clock clock;
    private final EntrySettings settings;
    private final MetricRegistry metrics;
    private final TcpPeerMessenger peers;
    private final MembershipService membership;
    private final ConfigService config;
    private final GroupRuntime groups;
    private final RequestService requests;
    private final JobApi jobApi;
    private final JobRouter jobRouter;
    private final HttpServer callersServer;
    private final HttpServer operatorsServer;
    private PlacementPolicy policyInForce = PlacementPolicy.DEFAULT;
    private @Nullable ServiceLimitsTable limitsInForce;
    private long policyTimer;
    private boolean stopping;

    public EntryVm(Vertx vertx, Clock clock, EntrySettings settings, MetricRegistry metrics) {
        this.vertx = vertx;
        this.clock = clock;
        this.settings = settings;
        this.metrics = metrics;
        EntrySettings.Platform platform = settings.platform();
        Store store = new HttpStore(vertx, platform.storeHost(), platform.storePort(), platform.timeoutMs());
        var vmList = new HttpVmList(vertx, platform.vmListHost(), platform.vmListPort(), platform.timeoutMs());
        String vmId = settings.vm().id();
        var directory = new LatePeerDirectory();
        peers = new TcpPeerMessenger(
                vertx,
                clock,
                vmId,
                settings.vm().host(),
                settings.listen().peersPort(),
                settings.peers().sharedKey(),
                directory);
        membership = new MembershipService(vertx, clock, peers, vmList, settings, metrics);
        directory.set(membership);
        config = new ConfigService(vertx, clock, store, peers, settings);
        groups = new GroupRuntime(
                vertx,
                clock,
                store,
                new HttpWorkerClient(vertx),
                settings,
                seed -> new FairSharePlacement(seed, PlacementPolicy.DEFAULT));
        var keyed = new StoreKeyedRequests(vertx, clock, store);
        requests = new RequestService(
                vertx,
                clock,
                new HttpExecutorClient(vertx, settings.routing().maxBodyBytes()),
                peers,
                keyed,
                settings,
                metrics);
        jobRouter = new JobRouter(
                vmId, membership::view, groups, peers, clock, () -> vertx.timer(QUERY_PAUSE_MS, TimeUnit.MILLISECONDS)
                        .mapEmpty());
        jobApi = new JobApi(
                vertx, clock, jobRouter, keyed, () -> UUID.randomUUID().toString());
        IngressCapacity capacity = IngressCapacity.ofProcess();
        Ingress ingress = new Ingress(vertx, clock, metrics, capacity.memoryBytes());
        callersServer =
                ingress.createServer(settings.listen().callersPort(), capacity.connections(), CALLER_IDLE_SECONDS);
        operatorsServer = ingress.createServer(
                settings.listen().operatorsPort(), IngressCapacity.SERVICE_CONNECTIONS, CALLER_IDLE_SECONDS);
    }

    /** Starts listeners and services; the VM is ready once it knows a configuration and the VM list. */
    public Future<Void> start() {
        connectServices();
        jobRouter.start();
        return peers.start()
                .compose(done -> membership.start())
                .compose(done -> config.start())
                .onSuccess(done -> startCores())
                .compose(done -> listen(
                        operatorsServer, operatorRoutes(), settings.listen().operatorsPort()))
                .compose(done ->
                        listen(callersServer, callerRoutes(), settings.listen().callersPort()));
    }

    /** Graceful shutdown: no new work, requests in flight finish, groups are released, then everything closes. */
    public Future<Void> stop() {
        if (stopping) {
            return Future.succeededFuture();
        }
        stopping = true;
        Logger.info("event=shutdown-started vm={}", settings.vm().id());
        membership.setLeaving();
        return Future.join(requests.drain(), groups.release())
                .otherwiseEmpty()
                .compose(done -> Future.join(callersServer.close(), operatorsServer.close()))
                .otherwiseEmpty()
                .onComplete(done -> closeServices())
                .mapEmpty();
    }

    /** Whether this VM may get requests from the balancer. */
    public boolean isReady() {
        return !stopping && config.current().isPresent() && membership.isListed();
    }

    private void connectServices() {
        membership.setGroupSummaries(groups::summaries);
        membership.setServiceLoads(requests::loads);
        membership.setLeavingEndpoints(requests::leavingEndpoints);
        membership.setConfigRevision(config::revision);
        config.setMetrics(metrics);
        membership.onChange(this::update);
        config.onChange(fleet -> applyPolicy());
    }

    private void startCores() {
        groups.setMetrics(metrics);
        groups.start();
        requests.start();
        policyTimer = vertx.setPeriodic(POLICY_REFRESH_MS, timer -> applyPolicy());
    }

    /** Applies the policy in force now; exceptions end at their deadline without a change of the configuration. */
    private void applyPolicy() {
        config.current().ifPresent(fleet -> {
            long wallMs = clock.wallMs();
            PlacementPolicy policy = fleet.policyAt(wallMs, settings.vm().dataCentre());
            if (!policy.equals(policyInForce)) {
                policyInForce = policy;
                groups.update(policy);
            }
            ServiceLimitsTable limits = FleetPolicies.serviceLimits(fleet, wallMs);
            if (!limits.equals(limitsInForce)) {
                limitsInForce = limits;
                requests.update(limits);
            }
            groups.update(FleetPolicies.withDrainedWorkers(membership.view(), fleet, wallMs));
        });
    }

    private void update(MembershipView view) {
        config.update(view);
        groups.update(config.current()
                .map(fleet -> FleetPolicies.withDrainedWorkers(view, fleet, clock.wallMs()))
                .orElse(view));
        requests.update(view);
    }

    private Router callerRoutes() {
        Router router = Router.router(vertx);
        router.get("/ready").handler(context -> sendReadiness(context.response()));
        router.route("/services/:service/*").handler(requests.handler());
        router.route("/services/:service").handler(requests.handler());
        jobApi.addCallerRoutes(router);
        return router;
    }

    private Router operatorRoutes() {
        Router router = Router.router(vertx);
        router.get("/health").handler(context -> context.response().end("ok\n"));
        router.get("/ready").handler(context -> sendReadiness(context.response()));
        jobApi.addOperatorRoutes(router);
        new OperatorApi(clock, config, membership::view, metrics).addRoutes(router);
        return router;
    }

    private void sendReadiness(HttpServerResponse response) {
        boolean ready = isReady();
        response.setStatusCode(ready ? 200 : 503).end(ready ? "ready\n" : "not ready\n");
    }

    private Future<Void> listen(HttpServer server, Router router, int port) {
        return server.requestHandler(router)
                .listen(port, settings.vm().host())
                .onSuccess(s -> Logger.info(
                        "event=listening vm={} port={}", settings.vm().id(), port))
                .mapEmpty();
    }

    private void closeServices() {
        vertx.cancelTimer(policyTimer);
        requests.close();
        groups.close();
        config.close();
        membership.close();
        peers.close();
        Logger.info("event=shutdown-finished vm={}", settings.vm().id());
    }
}
