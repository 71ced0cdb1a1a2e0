package io.radishspindle.standin;

import io.radishspindle.platform.Clock;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.platform.http.Wire;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP executor with slots. Belongs to one event loop, except for the methods that the shutdown hook calls.
 *
 * <p>Invariants: never more requests run than there are slots; a request that finds none is answered 503 with
 * {@code Not-Run: true} and does not run. While leaving, the executor still runs what arrives, so that senders have
 * time to notice; it ends when that time is over and no request is in flight.
 *
 * <p>The header {@code Service-Time-Ms} sets how long a request runs, {@code Answer-Status} its status.
 */
final class EndpointServer extends StandInServer {
    /**
     * How the executor behaves.
     *
     * @param leaveMs how long it still takes requests after it was told to leave
     * @param drainMs how long the end of the process waits for requests in flight
     */
    record Options(int slots, int connections, long serviceMs, long leaveMs, long drainMs) {}

    private static final long FLUSH_MS = 50;

    private final Options options;
    private final History<EndpointEvent> history;
    private final Clock clock = new SystemClock();
    private final CountDownLatch drained = new CountDownLatch(1);
    private int busySlots;
    private int openConnections;
    private boolean leaving;
    private boolean closed;

    EndpointServer(Address address, Options options, History<EndpointEvent> history) {
        super(address);
        this.options = options;
        this.history = history;
    }

    @Override
    void configure(HttpServer server) {
        server.connectionHandler(this::countConnection);
    }

    @Override
    void addRoutes(Router router) {
        FaultGate gate = new FaultGate(vertx, 0);
        router.get("/health").handler(c -> gate.run(c, () -> Future.succeededFuture(health())));
        router.get("/admin/history")
                .handler(c -> Answer.json(200, history.events()).send(c));
        router.post("/admin/faults").handler(c -> withJson(c, json -> gate.set(FaultGate.Faults.fromJson(json))));
        router.post("/admin/leaving").handler(c -> withJson(c, json -> leaving = json.getBoolean("leaving", true)));
        router.route().handler(c -> gate.run(c, () -> serve(c)));
    }

    @Override
    void beginLeaving() {
        context.runOnContext(v -> {
            leaving = true;
            vertx.setTimer(Math.max(1, options.leaveMs()), id -> {
                closed = true;
                checkDrained();
            });
        });
    }

    @Override
    void awaitDrained() {
        try {
            drained.await(options.leaveMs() + options.drainMs(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void countConnection(HttpConnection connection) {
        if (openConnections >= options.connections()) {
            connection.close();
            return;
        }
        openConnections++;
        connection.closeHandler(v -> openConnections--);
    }

    private Answer health() {
        Answer answer = Answer.json(200, new Wire.HealthState(leaving ? "leaving" : "live"));
        return leaving ? answer.with(Wire.LEAVING, "true") : answer;
    }

    private Future<Answer> serve(RoutingContext context) {
        if (closed || busySlots >= options.slots()) {
            record(EndpointEvent.Kind.REFUSED, context);
            Answer refusal = Answer.notRun(503, closed ? "leaving" : "no free slot");
            return Future.succeededFuture(leaving ? refusal.with(Wire.LEAVING, "true") : refusal);
        }
        busySlots++;
        record(EndpointEvent.Kind.START, context);
        Promise<Answer> done = Promise.promise();
        vertx.setTimer(Math.max(1, header(context, "Service-Time-Ms", options.serviceMs())), id -> {
            busySlots--;
            record(EndpointEvent.Kind.END, context);
            done.complete(echo(context));
            checkDrained();
        });
        return done.future();
    }

    private Answer echo(RoutingContext context) {
        int status = (int) header(context, "Answer-Status", 200);
        Answer answer = new Answer(status, Map.of(), bodyOf(context))
                .with("Request-Id", requestId(context))
                .with("Endpoint", id());
        return leaving ? answer.with(Wire.LEAVING, "true") : answer;
    }

    /** Reports the end only after the last answers have had time to reach their sockets. */
    private void checkDrained() {
        if (closed && busySlots == 0) {
            vertx.setTimer(FLUSH_MS, id -> drained.countDown());
        }
    }

    private void record(EndpointEvent.Kind kind, RoutingContext context) {
        history.add(new EndpointEvent(
                kind,
                id(),
                requestId(context),
                context.request().method().name(),
                context.request().path(),
                clock.wallMs()));
    }

    private static String requestId(RoutingContext context) {
        String value = context.request().getHeader("Request-Id");
        return value == null ? "" : value;
    }

    private static long header(RoutingContext context, String name, long other) {
        String value = context.request().getHeader(name);
        try {
            return value == null ? other : Long.parseLong(value);
        } catch (NumberFormatException e) {
            return other;
        }
    }
}
