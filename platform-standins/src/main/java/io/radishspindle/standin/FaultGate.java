package io.radishspindle.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import java.util.Locale;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Lets requests of a stand-in through, or not, as the faults say that are switched on. Belongs to one event loop.
 *
 * <p>Half of the latency passes before the operation and half after it, so that an operation may take effect after
 * its requester has given up.
 */
final class FaultGate {
    /** What happens to requests during an outage. */
    enum Out {
        NONE,
        /** Answered with 503 as not run. */
        REFUSE,
        /** The connection is closed before the operation. */
        CLOSE,
        /** Never answered. */
        HANG
    }

    /**
     * The faults that are switched on.
     *
     * @param slowMs added to the latency of each request, in milliseconds
     * @param lostAnswers share of requests whose answer is lost after the operation, from 0 to 1
     */
    record Faults(Out out, long slowMs, double lostAnswers, long seed) {
        static final Faults NONE = new Faults(Out.NONE, 0, 0, 0);

        /** Reads faults; an absent field means that the fault is off. */
        static Faults fromJson(JsonObject json) {
            Faults faults = new Faults(
                    Out.valueOf(json.getString("out", "none").toUpperCase(Locale.ROOT)),
                    json.getLong("slowMs", 0L),
                    json.getDouble("lostAnswers", 0.0),
                    json.getLong("seed", 0L));
            if (faults.slowMs < 0 || faults.lostAnswers < 0 || faults.lostAnswers > 1) {
                throw new IllegalArgumentException("slowMs must not be negative, lostAnswers must be within 0 and 1");
            }
            return faults;
        }
    }

    private final Vertx vertx;
    private final long latencyMs;
    private Faults faults = Faults.NONE;
    private UniformRandomProvider random = random(0);

    FaultGate(Vertx vertx, long latencyMs) {
        this.vertx = vertx;
        this.latencyMs = latencyMs;
    }

    void set(Faults newFaults) {
        faults = newFaults;
        random = random(newFaults.seed());
    }

    /** Runs an operation and sends its answer, subject to the faults. */
    void run(RoutingContext context, Supplier<Future<Answer>> operation) {
        if (faults.out() != Out.NONE) {
            beOut(context);
            return;
        }
        long halfMs = (latencyMs + faults.slowMs()) / 2;
        boolean lost = random.nextDouble() < faults.lostAnswers();
        after(halfMs, () -> operation.get().onSuccess(answer -> after(halfMs, () -> finish(context, answer, lost))));
    }

    private void beOut(RoutingContext context) {
        switch (faults.out()) {
            case REFUSE -> Answer.notRun(503, "out of service").send(context);
            case CLOSE -> close(context);
            default -> context.request().pause();
        }
    }

    private void finish(RoutingContext context, Answer answer, boolean lost) {
        if (lost || faults.out() != Out.NONE) {
            close(context);
        } else {
            answer.send(context);
        }
    }

    private static void close(RoutingContext context) {
        context.request().connection().close();
    }

    private void after(long delayMs, Runnable step) {
        if (delayMs <= 0) {
            step.run();
        } else {
            vertx.setTimer(delayMs, id -> step.run());
        }
    }

    private static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }
}
