package io.radishspindle.routing;

import com.codahale.metrics.MetricRegistry;
import com.dynatrace.hash4j.hashing.Hashing;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests;
import io.radishspindle.idempotency.KeyedRequests.BeginResult;
import io.radishspindle.idempotency.KeyedRequests.KeyedRequest;
import io.radishspindle.ingress.BodyReader;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.ServiceLoad;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.ExecutorClient;
import io.radishspindle.platform.ExecutorClient.ServiceRequest;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.ForwardRequest;
import io.radishspindle.routing.RoutingEvent.RequestArrived;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.RoutingContext;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;
import org.tinylog.Logger;

/**
 * Routes requests of callers to slots of executors. Must be created on the event loop of the {@link PeerMessenger};
 * its methods may then be called from any thread, and its handler may be used on any event loop.
 *
 * <p>Invariant: a request accepted before {@link #drain} gets its own final answer before the drain ends.
 */
public final class RequestService {
    private final Vertx vertx;
    private final Context context;
    private final Clock clock;
    private final PeerMessenger peers;
    private final KeyedRequests keyed;
    private final EntrySettings.Routing routingSettings;
    private final RoutingRuntime runtime;
    private final BodyReader bodies;
    private final AtomicLong requestIds = new AtomicLong();
    /** Requests between their first byte and their final answer. */
    private final AtomicInteger inFlight = new AtomicInteger();

    private final Promise<Void> drained = Promise.promise();
    private volatile boolean draining;

    public RequestService(
            Vertx vertx,
            Clock clock,
            ExecutorClient executors,
            PeerMessenger peers,
            KeyedRequests keyed,
            EntrySettings settings,
            MetricRegistry metrics) {
        this.vertx = vertx;
        this.clock = clock;
        this.peers = peers;
        this.keyed = keyed;
        routingSettings = settings.routing();
        context = vertx.getOrCreateContext();
        RoutingCore core = new RoutingCore(RoutingOptions.of(settings), RandomSource.createLong());
        runtime = new RoutingRuntime(vertx, context, clock, executors, peers, core, metrics);
        bodies = new BodyReader(vertx, clock);
    }

    /** Starts the timers and accepts forwarded requests of peers. */
    public void start() {
        context.runOnContext(v -> runtime.start());
        peers.handle(ForwardRequest.class, this::onForwardRequest);
    }

    /** Stops the timers; requests in flight are lost unless {@link #drain} has completed. */
    public void close() {
        context.runOnContext(v -> runtime.close());
    }

    /** Applies a new view of entry VMs and endpoints. */
    public void update(MembershipView view) {
        context.runOnContext(v -> runtime.update(view));
    }

    /** Applies limits from the fleet configuration. */
    public void update(ServiceLimitsTable limits) {
        context.runOnContext(v -> runtime.update(limits));
    }

    /** Load of each service at this VM, at most one tick old. */
    public List<ServiceLoad> loads() {
        return runtime.loads();
    }

    /** Ids of endpoints that this VM itself found to be leaving. */
    public List<String> leavingEndpoints() {
        return runtime.leavingEndpoints();
    }

    /** Refuses new requests; completes when the answers to all requests in flight have been written. */
    public Future<Void> drain() {
        draining = true;
        Logger.info("event=routing-drain-started in_flight={}", inFlight.get());
        context.runOnContext(v -> {
            runtime.drain();
            completeDrain();
        });
        return drained.future();
    }

    /** Handler for {@code ANY /services/:service/*}; no body handler may run before it. */
    public Handler<RoutingContext> handler() {
        return this::accept;
    }

    private void accept(RoutingContext routing) {
        HttpServerRequest request = routing.request();
        CallerResponder responder = new CallerResponder(vertx, request);
        if (draining) {
            responder.fail(Refusals.shuttingDown());
            return;
        }
        String service = Optional.ofNullable(routing.pathParam("service")).orElse("");
        Either<Failure, CallerRequest> head = CallerRequest.parse(request, service, routingSettings, clock.nowMs());
        if (head.isLeft()) {
            responder.fail(head.getLeft());
            return;
        }
        TrackedResponder tracked = new TrackedResponder(responder);
        if ("100-continue".equalsIgnoreCase(request.getHeader("Expect"))) {
            request.response().writeContinue();
        }
        bodies.read(request, routingSettings.maxBodyBytes(), head.get().deadlineAtMs())
                .onSuccess(body -> {
                    if (body.isLeft()) {
                        tracked.fail(body.getLeft());
                    } else {
                        admit(request, head.get(), body.get(), tracked);
                    }
                });
    }

    private void admit(HttpServerRequest request, CallerRequest head, Buffer body, TrackedResponder tracked) {
        RequestArrived arrival = new RequestArrived(
                requestIds.incrementAndGet(),
                head.service(),
                head.caller(),
                head.requestClass(),
                head.idempotent(),
                head.acceptedAtMs(),
                head.deadlineAtMs(),
                body.length(),
                0);
        ServiceRequest serviceRequest = new ServiceRequest(head.method(), head.path(), head.headers(), body);
        request.response()
                .closeHandler(v -> context.runOnContext(c -> runtime.callerDisconnected(arrival.requestId())));
        context.runOnContext(v -> {
            if (head.idempotencyKey().isEmpty()) {
                runtime.submit(arrival, serviceRequest, tracked);
            } else {
                recordKey(arrival, serviceRequest, head.idempotencyKey().get(), tracked);
            }
        });
    }

    private void recordKey(RequestArrived arrival, ServiceRequest request, String key, TrackedResponder tracked) {
        Optional<Failure> refusal = runtime.checkAdmission(arrival);
        if (refusal.isPresent()) {
            tracked.fail(refusal.get());
            return;
        }
        KeyedRequest keyedRequest = new KeyedRequest(arrival.service(), arrival.caller(), key, fingerprint(request));
        keyed.begin(keyedRequest, arrival.deadlineAtMs())
                .onComplete(result -> context.runOnContext(v -> {
                    if (result.failed()) {
                        tracked.fail(KeyedResponder.storeFailed(result.cause()));
                    } else if (result.result().isLeft()) {
                        tracked.fail(result.result().getLeft());
                    } else {
                        onKeyRecorded(arrival, request, result.result().get(), tracked);
                    }
                }));
    }

    private void onKeyRecorded(
            RequestArrived arrival, ServiceRequest request, BeginResult result, TrackedResponder tracked) {
        if (result instanceof BeginResult.Granted granted && tracked.isDisconnected()) {
            new KeyedResponder(keyed, granted.claim(), tracked).fail(Refusals.callerDisconnected());
        } else if (result instanceof BeginResult.Granted granted) {
            runtime.submit(arrival, request, new KeyedResponder(keyed, granted.claim(), tracked));
        } else {
            KeyedResponder.answerRepeat(result, tracked);
        }
    }

    private static long fingerprint(ServiceRequest request) {
        return Hashing.xxh3_64()
                .hashStream()
                .putString(request.method())
                .putString(request.path())
                .putByteArray(request.body().getBytes())
                .getAsLong();
    }

    private Future<Either<Failure, PeerMessage>> onForwardRequest(String fromVm, ForwardRequest message) {
        if (draining) {
            return Future.succeededFuture(Either.left(Refusals.shuttingDown()));
        }
        Optional<RequestClass> requestClass = RequestClass.parse(message.requestClass());
        if (message.hops() != 1 || requestClass.isEmpty()) {
            String text = "hops=" + message.hops() + " class=" + message.requestClass() + " from " + fromVm;
            return Future.succeededFuture(
                    Either.left(Failure.rejected(ErrorCode.PROTOCOL_ERROR, "routing.forwarded", text)));
        }
        long nowMs = clock.nowMs();
        RequestArrived arrival = new RequestArrived(
                requestIds.incrementAndGet(),
                message.service(),
                message.caller(),
                requestClass.get(),
                CallerRequest.isIdempotent(message.method()),
                nowMs,
                nowMs + Math.min(message.remainingMs(), routingSettings.maxDeadlineMs()),
                message.body().length,
                message.hops());
        PeerResponder responder = new PeerResponder();
        ServiceRequest request = ForwardMessages.toRequest(message);
        TrackedResponder tracked = new TrackedResponder(responder);
        context.runOnContext(v -> runtime.submit(arrival, request, tracked));
        return responder.answer();
    }

    private void completeDrain() {
        if (draining && inFlight.get() == 0 && drained.tryComplete()) {
            Logger.info("event=routing-drain-finished");
        }
    }

    /** Counts a request as in flight until its answer is written, so that a drain doesn't end before it. */
    private final class TrackedResponder implements Responder {
        private final Responder target;

        TrackedResponder(Responder target) {
            this.target = target;
            inFlight.incrementAndGet();
        }

        @Override
        public Future<Void> answer(ExecutorClient.ServiceResponse response) {
            return target.answer(response).onComplete(written -> done());
        }

        @Override
        public Future<Void> fail(Failure failure) {
            return target.fail(failure).onComplete(written -> done());
        }

        @Override
        public boolean isDisconnected() {
            return target.isDisconnected();
        }

        private void done() {
            inFlight.decrementAndGet();
            context.runOnContext(v -> completeDrain());
        }
    }
}
