package io.radishspindle.routing;

import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.VirtualTime;
import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.function.BiConsumer;
import org.apache.commons.rng.UniformRandomProvider;

/** An executor in virtual time. It counts its slots itself and answers "busy" when none is free. */
final class SimExecutor {
    /** Reports the end of an attempt and the answer, if there is one. */
    interface Reply extends BiConsumer<AttemptOutcome, ServiceResponse> {}

    private static final ServiceResponse NONE =
            new ServiceResponse(0, MultiMap.caseInsensitiveMultiMap(), Buffer.buffer(), false, false);

    final Endpoint endpoint;
    private final VirtualTime time;
    private final UniformRandomProvider random;
    private final History history;
    private final SimFaults faults;
    private int inUse;
    long serviceMs = 40;
    long hungUntilMs;
    boolean leaving;
    int busyAnswers;

    SimExecutor(Endpoint endpoint, VirtualTime time, UniformRandomProvider random, History history, SimFaults faults) {
        this.endpoint = endpoint;
        this.time = time;
        this.random = random;
        this.history = history;
        this.faults = faults;
    }

    void startLeaving() {
        leaving = true;
        history.add(new History.EndpointLeaving(endpoint.id(), time.nowMs()));
    }

    /** Handles a request; the reply may come twice if answers are late. */
    void receive(long call, String identity, Reply reply) {
        history.add(new History.Received(endpoint.id(), call, time.nowMs()));
        if (inUse >= endpoint.slots()) {
            busyAnswers++;
            later(1, () -> reply.accept(new AttemptOutcome.Busy(leaving), NONE));
            return;
        }
        if (random.nextDouble() < faults.breakBeforeRun()) {
            later(1, () -> reply.accept(broken(), NONE));
            return;
        }
        history.add(new History.Ran(endpoint.id(), call, identity, time.nowMs()));
        inUse++;
        long runMs = Math.max(1, (long) (-Math.log(1 - random.nextDouble()) * serviceMs));
        later(Math.max(runMs, hungUntilMs - time.nowMs()), () -> {
            inUse--;
            answer(identity, reply);
        });
    }

    void probe(RoutingSimulation.ProbeReply reply) {
        boolean lost = time.nowMs() < hungUntilMs || random.nextDouble() < faults.loseProbe();
        RoutingEvent.ProbeResult found = leaving ? RoutingEvent.ProbeResult.LEAVING : RoutingEvent.ProbeResult.LIVE;
        later(lost ? 1_000 : 2, () -> reply.accept(lost ? RoutingEvent.ProbeResult.MISSED : found));
    }

    private void answer(String identity, Reply reply) {
        ServiceResponse response = new ServiceResponse(
                200,
                MultiMap.caseInsensitiveMultiMap(),
                Buffer.buffer(History.answerTo(identity)),
                false,
                leaving && random.nextBoolean());
        AttemptOutcome answered = new AttemptOutcome.Answered(200, response.leaving());
        double fault = random.nextDouble();
        if (fault < faults.breakAfterRun()) {
            reply.accept(broken(), NONE);
        } else if (fault < faults.breakAfterRun() + faults.lateAnswer()) {
            reply.accept(broken(), NONE);
            later(1 + random.nextInt(50), () -> reply.accept(answered, response));
        } else {
            later(1, () -> reply.accept(answered, response));
        }
    }

    private AttemptOutcome broken() {
        return new AttemptOutcome.Failed(Failure.outcomeUnknown("executor.send", endpoint.id(), "connection closed"));
    }

    private void later(long delayMs, Runnable task) {
        time.after(delayMs, task);
    }
}
