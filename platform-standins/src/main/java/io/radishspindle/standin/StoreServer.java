package io.radishspindle.standin;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.platform.http.Wire;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/**
 * The store: compare-and-swap, list, watch and leases. Belongs to one event loop.
 *
 * <p>Each call is counted once by kind when it arrives, also during an outage; a waiting watch counts as one.
 */
final class StoreServer extends StandInServer {
    private static final String KEYS = "/v1/keys/";
    private static final long LEASE_CHECK_MS = 50;
    private static final long MAX_WAIT_MS = 60_000;

    private record Lease(long leaseId, long ttlMs) {}

    /** A watch without changes so far. */
    private record Waiting(String prefix, long afterRevision, Promise<Answer> answer) {}

    private final long latencyMs;
    private final Clock clock = new SystemClock();
    private final MetricRegistry metrics = new MetricRegistry();
    private final StoreState state = new StoreState();
    private final List<Waiting> waiting = new ArrayList<>();

    StoreServer(Address address, long latencyMs) {
        super(address);
        this.latencyMs = latencyMs;
    }

    @Override
    void addRoutes(Router router) {
        FaultGate gate = new FaultGate(vertx, latencyMs);
        router.get(KEYS + "*").handler(c -> count("get", c, gate, () -> get(c)));
        router.put(KEYS + "*").handler(c -> count("put", c, gate, () -> write(c)));
        router.delete(KEYS + "*").handler(c -> count("delete", c, gate, () -> write(c)));
        router.get("/v1/list").handler(c -> count("list", c, gate, () -> list(c)));
        router.get("/v1/watch").handler(c -> countAsync("watch", c, gate, () -> watch(c)));
        router.post("/v1/leases").handler(c -> count("lease", c, gate, () -> grant(c)));
        router.put("/v1/leases/:id").handler(c -> count("lease", c, gate, () -> renew(c)));
        router.delete("/v1/leases/:id").handler(c -> count("lease", c, gate, () -> revoke(c)));
        router.get("/admin/counters").handler(c -> counters().send(c));
        router.post("/admin/faults")
                .handler(c -> withJson(c, json -> {
                    gate.set(FaultGate.Faults.fromJson(json));
                    answerAllWatches();
                }));
        vertx.setPeriodic(LEASE_CHECK_MS, id -> {
            state.expireLeases(clock.nowMs());
            answerWatches();
        });
    }

    private void count(String kind, RoutingContext context, FaultGate gate, Supplier<Answer> operation) {
        countAsync(kind, context, gate, () -> Future.succeededFuture(operation.get()));
    }

    private void countAsync(String kind, RoutingContext context, FaultGate gate, Supplier<Future<Answer>> operation) {
        metrics.counter(kind).inc();
        metrics.counter("bytes-in").inc(bodyOf(context).length());
        gate.run(context, () -> checked(operation).onSuccess(answer -> metrics.counter("bytes-out")
                .inc(answer.body().length())));
    }

    private static Future<Answer> checked(Supplier<Future<Answer>> operation) {
        try {
            return operation.get();
        } catch (IllegalArgumentException e) {
            return Future.succeededFuture(Answer.notRun(400, "invalid request: " + e.getMessage()));
        }
    }

    private Answer get(RoutingContext context) {
        StoreState.Slot slot = state.get(key(context));
        byte[] value = slot.value();
        Answer answer = value == null ? Answer.of(404) : new Answer(200, Map.of(), Buffer.buffer(value));
        return answer.with(Wire.VERSION, Long.toString(slot.version()))
                .with(Wire.REVISION, Long.toString(state.revision()));
    }

    private Answer write(RoutingContext context) {
        long expected = number(context, "expect");
        state.expireLeases(clock.nowMs());
        StoreState.WriteResult result = context.request().method().equals(HttpMethod.PUT)
                ? state.put(key(context), bodyOf(context).getBytes(), expected, numberOr(context, "lease", 0))
                : state.delete(key(context), expected);
        answerWatches();
        if (result.problem().isEmpty()) {
            return Answer.json(200, new Wire.Written(result.version(), result.revision()));
        }
        metrics.counter("problems").inc();
        return switch (result.problem().get()) {
            case CONFLICT -> Answer.json(409, new Wire.Written(result.version(), result.revision()));
            case TOO_LARGE -> Answer.notRun(413, "value exceeds " + StoreState.MAX_VALUE_BYTES + " bytes");
            case NO_LEASE -> Answer.notRun(404, "no such lease");
        };
    }

    private Answer list(RoutingContext context) {
        return items(state.list(text(context, "prefix")));
    }

    private Future<Answer> watch(RoutingContext context) {
        String prefix = text(context, "prefix");
        long after = number(context, "after");
        List<Map.Entry<String, StoreState.Slot>> changes = state.changesAfter(prefix, after);
        long waitMs = Math.min(number(context, "waitMs"), MAX_WAIT_MS);
        if (!changes.isEmpty() || waitMs <= 0) {
            return Future.succeededFuture(items(changes));
        }
        Waiting watch = new Waiting(prefix, after, Promise.promise());
        waiting.add(watch);
        long timerId = vertx.setTimer(waitMs, id -> answer(watch));
        context.response().closeHandler(v -> waiting.remove(watch));
        return watch.answer().future().onComplete(v -> vertx.cancelTimer(timerId));
    }

    private void answerWatches() {
        for (Waiting watch : List.copyOf(waiting)) {
            if (!state.changesAfter(watch.prefix(), watch.afterRevision()).isEmpty()) {
                answer(watch);
            }
        }
    }

    /** Ends all watches when faults change, so that an outage also breaks those that wait. */
    private void answerAllWatches() {
        List.copyOf(waiting).forEach(this::answer);
    }

    private void answer(Waiting watch) {
        waiting.remove(watch);
        watch.answer().tryComplete(items(state.changesAfter(watch.prefix(), watch.afterRevision())));
    }

    private Answer items(List<Map.Entry<String, StoreState.Slot>> slots) {
        List<Wire.Item> items = new ArrayList<>();
        for (Map.Entry<String, StoreState.Slot> entry : slots) {
            byte[] value = entry.getValue().value();
            byte[] shown = value == null ? new byte[0] : value;
            items.add(new Wire.Item(entry.getKey(), shown, entry.getValue().version()));
        }
        return Answer.json(200, new Wire.Items(items, state.revision()));
    }

    private Answer grant(RoutingContext context) {
        long ttlMs = number(context, "ttlMs");
        return Answer.json(200, new Lease(state.grantLease(clock.nowMs(), ttlMs), ttlMs));
    }

    private Answer renew(RoutingContext context) {
        long ttlMs = number(context, "ttlMs");
        long leaseId = Long.parseLong(context.pathParam("id"));
        boolean renewed = state.renewLease(clock.nowMs(), leaseId, ttlMs);
        return renewed ? Answer.json(200, new Lease(leaseId, ttlMs)) : Answer.notRun(404, "no such lease");
    }

    private Answer revoke(RoutingContext context) {
        boolean revoked = state.revokeLease(Long.parseLong(context.pathParam("id")));
        answerWatches();
        return revoked ? Answer.of(200) : Answer.notRun(404, "no such lease");
    }

    private Answer counters() {
        Map<String, Long> values = new TreeMap<>();
        metrics.getCounters().forEach((String name, Counter counter) -> values.put(name, counter.getCount()));
        values.put("waiting-watches", (long) waiting.size());
        values.put("revision", state.revision());
        return Answer.json(200, values);
    }

    private static String key(RoutingContext context) {
        String encoded = context.request().path().substring(KEYS.length());
        return URLDecoder.decode(encoded, StandardCharsets.UTF_8);
    }

    private static String text(RoutingContext context, String name) {
        String value = context.request().getParam(name);
        if (value == null) {
            throw new IllegalArgumentException("parameter " + name + " is missing");
        }
        return value;
    }

    private static long number(RoutingContext context, String name) {
        return Long.parseLong(text(context, name));
    }

    private static long numberOr(RoutingContext context, String name, long other) {
        return context.request().getParam(name) == null ? other : number(context, name);
    }
}
