package io.radishspindle.entry.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishspindle.entry.http.FailureResponse;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests;
import io.radishspindle.model.JobStatus;
import io.radishspindle.platform.Clock;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.function.Supplier;

/**
 * HTTP interface for jobs: submit, list, show, watch, cancel and explain. Belongs to one event loop.
 *
 * <p>A job is answered with 202 only after its group has recorded it durably.
 */
public final class JobApi {
    /** A job with 32 parameters of 1 KiB fits. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int DEFAULT_LIST_LIMIT = 1_000;
    private static final int MAX_LIST_LIMIT = 10_000;
    private static final long DEFAULT_WATCH_MS = 10_000;
    private static final long MAX_WATCH_MS = 60_000;
    private static final long WATCH_POLL_MS = 100;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Vertx vertx;
    private final Clock clock;
    private final JobRouter jobs;
    private final KeyedSubmission keyed;
    private final Supplier<String> ids;

    /** @param ids source of suffixes that are unique within the cell */
    public JobApi(Vertx vertx, Clock clock, JobRouter jobs, KeyedRequests keyed, Supplier<String> ids) {
        this.vertx = vertx;
        this.clock = clock;
        this.jobs = jobs;
        this.keyed = new KeyedSubmission(clock, keyed);
        this.ids = ids;
    }

    /** Adds the routes for callers. */
    public void addCallerRoutes(Router router) {
        router.post("/jobs")
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES))
                .handler(this::submit);
        addOperatorRoutes(router);
    }

    /** Adds the routes for operators, who explain and cancel jobs but do not submit them. */
    public void addOperatorRoutes(Router router) {
        router.get("/jobs").handler(this::list);
        router.get("/jobs/:id").handler(this::show);
        router.get("/jobs/:id/watch").handler(this::watch);
        router.get("/jobs/:id/explain").handler(this::show);
        router.delete("/jobs/:id").handler(this::cancel);
    }

    private void submit(RoutingContext context) {
        Either<Failure, JobRequest> request = JobRequest.parse(context.body().buffer());
        if (request.isLeft()) {
            FailureResponse.write(context.response(), request.getLeft());
            return;
        }
        String caller = context.request().headers().get("Caller");
        String key = context.request().getHeader("Idempotency-Key");
        Future<Either<Failure, JobStatus>> submitted = key == null
                ? jobs.submit(request.get()::toSpec, ids.get())
                : keyed.submit(
                        caller == null ? "" : caller,
                        key,
                        context.body().buffer(),
                        suffix -> jobs.submit(request.get()::toSpec, suffix));
        submitted.onSuccess(result -> answer(context, result, 202));
    }

    private void show(RoutingContext context) {
        jobs.status(context.pathParam("id")).onSuccess(result -> answer(context, result, 200));
    }

    private void cancel(RoutingContext context) {
        String actor = context.request().getHeader("Caller");
        jobs.cancel(context.pathParam("id"), actor == null ? "" : actor)
                .onSuccess(result -> answer(context, result, 200));
    }

    private void list(RoutingContext context) {
        long limit = number(context, "limit", DEFAULT_LIST_LIMIT, MAX_LIST_LIMIT);
        if (limit < 0) {
            return;
        }
        jobs.list((int) limit).onSuccess(list -> sendJson(context, 200, list));
    }

    /** Answers when the phase differs from the query parameter {@code phase}, or when the wait ends. */
    private void watch(RoutingContext context) {
        long waitMs = number(context, "waitMs", DEFAULT_WATCH_MS, MAX_WATCH_MS);
        if (waitMs < 0) {
            return;
        }
        String phase = context.request().getParam("phase", "");
        poll(context, phase, clock.nowMs() + waitMs);
    }

    private void poll(RoutingContext context, String phase, long deadlineMs) {
        jobs.status(context.pathParam("id")).onSuccess(result -> {
            boolean changed = result.isRight() && !result.get().phase().name().equals(phase);
            boolean gone = result.isLeft() && result.getLeft().code() == ErrorCode.NOT_FOUND;
            if (changed || gone || clock.nowMs() >= deadlineMs) {
                answer(context, result, 200);
            } else if (!context.response().closed()) {
                vertx.setTimer(WATCH_POLL_MS, timer -> poll(context, phase, deadlineMs));
            }
        });
    }

    /** A query parameter from 1 to {@code max}; answers the request and yields -1 if it is invalid. */
    private static long number(RoutingContext context, String name, long fallback, long max) {
        String text = context.request().getParam(name);
        if (text == null) {
            return fallback;
        }
        try {
            long value = Long.parseLong(text);
            if (value >= 1 && value <= max) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Answered below like a number out of range.
        }
        FailureResponse.write(
                context.response(),
                Failure.rejected(ErrorCode.INVALID_REQUEST, "job.query", name + ": must be a number from 1 to " + max));
        return -1;
    }

    private static void answer(RoutingContext context, Either<Failure, JobStatus> result, int status) {
        if (result.isLeft()) {
            FailureResponse.write(context.response(), statusOf(result.getLeft()), result.getLeft());
        } else {
            sendJson(context, status, result.get());
        }
    }

    /** An owner that was lost after it had the job counts as a gateway timeout. */
    private static int statusOf(Failure failure) {
        return failure.code() == ErrorCode.OUTCOME_UNKNOWN ? GATEWAY_TIMEOUT : FailureResponse.statusOf(failure);
    }

    private static void sendJson(RoutingContext context, int status, Object body) {
        if (context.response().closed()) {
            return;
        }
        try {
            context.response()
                    .setStatusCode(status)
                    .putHeader("Content-Type", "application/json")
                    .end(JSON.writeValueAsString(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("status of a job can't be written as JSON", e);
        }
    }
}
