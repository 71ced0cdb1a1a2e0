package io.radishspindle.entry.job;

import com.dynatrace.hash4j.hashing.Hashing;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.idempotency.KeyedRequests;
import io.radishspindle.model.JobStatus;
import io.radishspindle.platform.Clock;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.UUID;
import java.util.function.Function;

/**
 * Submits a job with an Idempotency-Key at most once, at whichever entry VM the repeats arrive. Belongs to one event
 * loop; the returned futures never fail.
 */
final class KeyedSubmission {
    /** Name under which the keys of jobs are recorded, apart from the keys of requests to services. */
    private static final String SERVICE = "jobs";

    private static final long DEADLINE_MS = 5_000;
    private static final int ACCEPTED = 202;

    private final Clock clock;
    private final KeyedRequests keyed;

    KeyedSubmission(Clock clock, KeyedRequests keyed) {
        this.clock = clock;
        this.keyed = keyed;
    }

    /**
     * Records the key, then calls {@code submit} with the last part of the job id.
     *
     * @param body the submitted bytes; a key that is repeated with another body is refused
     */
    Future<Either<Failure, JobStatus>> submit(
            String caller, String key, Buffer body, Function<String, Future<Either<Failure, JobStatus>>> submit) {
        String suffix = suffixOf(caller, key);
        long fingerprint = Hashing.xxh3_64().hashBytesToLong(body.getBytes());
        var request = new KeyedRequests.KeyedRequest(SERVICE, caller, key, fingerprint);
        return keyed.begin(request, clock.nowMs() + DEADLINE_MS).compose(begun -> {
            if (begun.isLeft()) {
                return Future.succeededFuture(Either.left(begun.getLeft()));
            }
            if (begun.get() instanceof KeyedRequests.BeginResult.Granted granted) {
                return submit.apply(suffix).compose(result -> settle(granted.claim(), result));
            }
            return Future.succeededFuture(Either.left(repeated(begun.get(), suffix)));
        });
    }

    /**
     * Settles the record of the key. The record of an unknown outcome stays, so that a repeat is not submitted
     * again. "Not run" is answered only after the record is gone, because the caller may repeat the job at once; if
     * the record can't be removed, the answer says that the key stays in use.
     */
    private Future<Either<Failure, JobStatus>> settle(KeyedRequests.Claim claim, Either<Failure, JobStatus> result) {
        if (result.isRight()) {
            keyed.complete(claim, new KeyedRequests.StoredAnswer(ACCEPTED, List.of(), Buffer.buffer()));
            return Future.succeededFuture(result);
        }
        if (!result.getLeft().notRun()) {
            return Future.succeededFuture(result);
        }
        return keyed.release(claim)
                .map(released -> released.isRight() ? result : Either.left(keyKept(result.getLeft())));
    }

    private static Failure keyKept(Failure cause) {
        return new Failure(
                cause.code(),
                cause.step(),
                cause.peer(),
                cause.message() + "; the key could not be freed, so a repeat with it is refused until it expires",
                true,
                0);
    }

    private static Failure repeated(KeyedRequests.BeginResult result, String suffix) {
        String outcome = result instanceof KeyedRequests.BeginResult.Finished
                ? "was accepted before"
                : "is being submitted, or its outcome is unknown";
        return new Failure(
                ErrorCode.CONFLICT,
                "job.submit",
                "",
                "a job with this key " + outcome + "; its id ends with " + suffix,
                false,
                0);
    }

    private static String suffixOf(String caller, String key) {
        return UUID.nameUUIDFromBytes((caller + '\n' + key).getBytes(StandardCharsets.UTF_8))
                .toString();
    }
}
