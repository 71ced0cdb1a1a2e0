package io.radishspindle.routing;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests;
import io.radishspindle.ingress.Ingress;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.ServiceLoad;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.platform.http.HttpExecutorClient;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.MultiMap;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import io.vertx.ext.web.Router;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;

/** One entry VM with executors and callers on loopback sockets. */
final class RoutingFixture implements AutoCloseable {
    /** Bound of every wait; a test that reaches it has failed. */
    static final long WAIT_MS = 10_000;

    /** An answer as a caller sees it. */
    record Answer(int status, MultiMap headers, Buffer body) {
        boolean notRun() {
            return body.toJsonObject().getBoolean("notRun");
        }

        String code() {
            return body.toJsonObject().getString("code");
        }
    }

    final Vertx vertx = Vertx.vertx();
    final LoopbackPeers peers = new LoopbackPeers();
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final HttpClient callers = vertx.createHttpClient();
    private RequestService service;
    boolean waitForSlots = true;
    final MetricRegistry metrics = new MetricRegistry();
    String dataCentre = "dc1";
    private static final long INGRESS_BYTES = 64L * 1024 * 1024;

    private final List<EntryVm> otherVms = new ArrayList<>();
    volatile int port;
    /** Event loop of the callers' connections; null before the start. */
    @Nullable
    volatile Context callersContext;

    /** Refuses keyed requests, as a VM without a store does. */
    static KeyedRequests noStore() {
        Failure failure = Failure.retryable(ErrorCode.STORE_UNAVAILABLE, "store.put", "store", "down", 1_000);
        return new KeyedRequests() {
            @Override
            public Future<Either<Failure, BeginResult>> begin(KeyedRequest request, long deadlineAtMs) {
                return Future.succeededFuture(Either.left(failure));
            }

            @Override
            public Future<Either<Failure, Void>> complete(Claim claim, StoredAnswer answer) {
                return Future.succeededFuture(Either.left(failure));
            }

            @Override
            public Future<Either<Failure, Void>> release(Claim claim) {
                return Future.succeededFuture(Either.left(failure));
            }
        };
    }

    /** Adds an executor that speaks HTTP; probes are answered for it. */
    RoutingFixture executor(int slots, Handler<HttpServerRequest> handler) {
        return executor(slots, () -> false, handler);
    }

    /** Adds an executor whose probes report it as leaving once {@code leaving} is true. */
    RoutingFixture executor(int slots, BooleanSupplier leaving, Handler<HttpServerRequest> handler) {
        HttpServer server = await(vertx.createHttpServer()
                .requestHandler(request -> {
                    if (request.path().equals("/health")) {
                        request.response()
                                .putHeader("Leaving", Boolean.toString(leaving.getAsBoolean()))
                                .end();
                    } else {
                        handler.handle(request);
                    }
                })
                .listen(0, "127.0.0.1"));
        return endpoint(slots, server.actualPort());
    }

    /** Adds an executor that handles its connections without HTTP, so that it can break the protocol. */
    RoutingFixture rawExecutor(int slots, Handler<NetSocket> handler) {
        NetServer server = await(vertx.createNetServer().connectHandler(handler).listen(0, "127.0.0.1"));
        return endpoint(slots, server.actualPort());
    }

    RoutingFixture endpoint(int slots, int executorPort) {
        endpoints.add(RoutingTestData.endpoint("e" + endpoints.size(), dataCentre, executorPort, slots));
        return this;
    }

    RoutingFixture start() {
        return start(RoutingTestData.routing(), noStore());
    }

    RoutingFixture start(EntrySettings.Routing routing, KeyedRequests keyed) {
        service = serviceOf("vm1", routing, keyed);
        EntryVm self = RoutingTestData.vm("vm1", "dc1");
        List<EntryVm> vms = new ArrayList<>(List.of(self));
        vms.addAll(otherVms);
        service.update(RoutingTestData.view(self, vms, endpoints));
        Router router = Router.router(vertx);
        router.route("/services/:service/*").handler(service.handler());
        await(vertx.deployVerticle(new CallersVerticle(router)));
        waitUntil(() -> service.loads().stream().anyMatch(load -> load.freeSlots() > 0) || !waitForSlots);
        return this;
    }

    /** Starts another VM with eight free slots; the endpoints must have been added. */
    RequestService peer(String id, String peerDataCentre) {
        RequestService peer = serviceOf(id, RoutingTestData.routing(), noStore());
        EntryVm vm = RoutingTestData.vm(id, peerDataCentre, new ServiceLoad(RoutingTestData.SERVICE, 8, 0));
        peer.update(RoutingTestData.view(vm, List.of(vm), endpoints));
        otherVms.add(vm);
        waitForSlots = false;
        return peer;
    }

    /** The callers' listener, on an event loop of its own as in a daemon with several. */
    private final class CallersVerticle extends VerticleBase {
        private final Router router;

        CallersVerticle(Router router) {
            this.router = router;
        }

        @Override
        public Future<?> start() {
            callersContext = context;
            return new Ingress(vertx, new SystemClock(), metrics, INGRESS_BYTES)
                    .createServer(0, 100, 60)
                    .requestHandler(router)
                    .listen(0, "127.0.0.1")
                    .onSuccess(server -> port = server.actualPort());
        }
    }

    private RequestService serviceOf(String id, EntrySettings.Routing routing, KeyedRequests keyed) {
        RequestService created = new RequestService(
                vertx,
                new SystemClock(),
                new HttpExecutorClient(vertx, routing.maxBodyBytes()),
                peers.messenger(id),
                keyed,
                RoutingTestData.settings(id, routing),
                metrics);
        created.start();
        return created;
    }

    RequestService service() {
        return service;
    }

    Answer call(HttpMethod method, String path, Map<String, String> headers, String body) {
        return await(send(method, path, headers, body));
    }

    Future<Answer> send(HttpMethod method, String path, Map<String, String> headers, String body) {
        return callers.request(method, port, "127.0.0.1", path).compose(request -> {
            headers.forEach(request::putHeader);
            return request.send(Buffer.buffer(body)).compose(RoutingFixture::toAnswer);
        });
    }

    private static Future<Answer> toAnswer(HttpClientResponse response) {
        return response.body().map(body -> new Answer(response.statusCode(), response.headers(), body));
    }

    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result within " + WAIT_MS + " ms", e);
        }
    }

    static void waitUntil(BooleanSupplier condition) {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > endNs) {
                throw new AssertionError("condition not met within " + WAIT_MS + " ms");
            }
            Thread.onSpinWait();
        }
    }

    @Override
    public void close() {
        service.close();
        await(vertx.close());
    }
}
