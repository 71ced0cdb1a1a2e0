package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests;
import io.radishspindle.idempotency.KeyedRequests.BeginResult;
import io.radishspindle.idempotency.KeyedRequests.Claim;
import io.radishspindle.idempotency.KeyedRequests.StoredAnswer;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import java.util.Optional;

/**
 * Answers a request with an idempotency key and records its outcome. Thread-safe.
 *
 * <p>The caller is answered first; a record that can't be written leaves the outcome unknown to repeats, which is
 * safe.
 */
final class KeyedResponder implements Responder {
    static final String STEP = "routing.idempotency";
    private static final long IN_PROGRESS_RETRY_MS = 1_000;

    private final KeyedRequests keyed;
    private final Claim claim;
    private final Responder target;

    KeyedResponder(KeyedRequests keyed, Claim claim, Responder target) {
        this.keyed = keyed;
        this.claim = claim;
        this.target = target;
    }

    @Override
    public Future<Void> answer(ServiceResponse response) {
        Future<Void> written = target.answer(response);
        keyed.complete(
                claim,
                new StoredAnswer(response.status(), EndToEndHeaders.ofResponse(response.headers()), response.body()));
        return written;
    }

    /** A caller that receives "not run" may repeat at once, so the intent is removed before the failure is written. */
    @Override
    public Future<Void> fail(Failure failure) {
        if (failure.notRun()) {
            return keyed.release(claim).transform(done -> target.fail(failure));
        }
        return target.fail(failure);
    }

    /** Answers a request whose key is already recorded. */
    static void answerRepeat(BeginResult result, Responder target) {
        if (result instanceof BeginResult.Finished finished) {
            Optional<StoredAnswer> answer = finished.answer();
            if (answer.isPresent()) {
                target.answer(toResponse(answer.get()));
            } else {
                String message =
                        "a request with this key has already run and was answered with status " + finished.status();
                target.fail(new Failure(ErrorCode.CONFLICT, STEP, "", message, false, 0));
            }
        } else {
            String message = "a request with this key is in progress, or its outcome is unknown";
            target.fail(new Failure(ErrorCode.CONFLICT, STEP, "", message, false, IN_PROGRESS_RETRY_MS));
        }
    }

    static Failure storeFailed(Throwable cause) {
        return Failure.retryable(
                ErrorCode.STORE_UNAVAILABLE, STEP, "store", String.valueOf(cause), Refusals.DEFAULT_RETRY_MS);
    }

    private static ServiceResponse toResponse(StoredAnswer answer) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        answer.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
        headers.set("Idempotent-Replayed", "true");
        return new ServiceResponse(answer.status(), headers, answer.body(), false, false);
    }
}
