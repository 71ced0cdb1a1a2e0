package io.radishspindle.entry.job;

import static io.radishspindle.entry.job.InvalidJob.invalidJob;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishspindle.error.Failure;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * The body of {@code POST /jobs}. Immutable and thread-safe. Absent fields are null until {@link #toSpec} applies the
 * defaults.
 */
record JobRequest(
        @Nullable String team,
        @Nullable String family,
        @Nullable JobClass jobClass,
        @Nullable Integer tasks,
        @Nullable Resources perTask,
        @Nullable Long expectedRunMs,
        @Nullable Integer maxAttempts,
        @Nullable Map<String, String> parameters) {
    /** Bounds the size of a job's record in the journal. */
    static final int MAX_TASKS = 10_000;

    static final int MAX_ATTEMPTS = 100;
    private static final int DEFAULT_ATTEMPTS = 3;
    private static final long DEFAULT_RUN_MS = 60_000;
    private static final int MAX_NAME_LENGTH = 128;
    private static final int MAX_PARAMETERS = 32;
    private static final int MAX_PARAMETER_LENGTH = 1024;
    private static final ObjectMapper JSON =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Parses and checks a body. */
    static Either<Failure, JobRequest> parse(Buffer body) {
        try {
            JobRequest request = JSON.readValue(body.getBytes(), JobRequest.class);
            return request == null ? Either.left(invalidJob("body", "must be a JSON object")) : request.check();
        } catch (JsonProcessingException e) {
            return Either.left(invalidJob("body", e.getOriginalMessage()));
        } catch (IOException e) {
            return Either.left(invalidJob("body", String.valueOf(e.getMessage())));
        }
    }

    /** The specification with the given id and defaults for absent fields; requires a checked request. */
    JobSpec toSpec(String id) {
        String owner = Objects.requireNonNull(team);
        return new JobSpec(
                id,
                owner,
                family == null ? owner : family,
                Objects.requireNonNull(jobClass),
                taskCount(),
                Objects.requireNonNull(perTask),
                expectedRunMs == null ? DEFAULT_RUN_MS : expectedRunMs,
                maxAttempts == null ? DEFAULT_ATTEMPTS : maxAttempts,
                parameters == null ? Map.of() : parameters);
    }

    int taskCount() {
        return tasks == null ? 1 : tasks;
    }

    private Either<Failure, JobRequest> check() {
        if (team == null || team.isBlank() || team.length() > MAX_NAME_LENGTH) {
            return Either.left(invalidJob("team", "must be a name of 1 to " + MAX_NAME_LENGTH + " characters"));
        }
        if (family != null && (family.isBlank() || family.length() > MAX_NAME_LENGTH)) {
            return Either.left(invalidJob("family", "must be a name of 1 to " + MAX_NAME_LENGTH + " characters"));
        }
        if (jobClass == null) {
            return Either.left(invalidJob("jobClass", "must be one of URGENT, SERVICE, ALL_AT_ONCE, BATCH"));
        }
        if (taskCount() < 1 || taskCount() > MAX_TASKS) {
            return Either.left(invalidJob("tasks", "must be from 1 to " + MAX_TASKS));
        }
        if (expectedRunMs != null && expectedRunMs < 1) {
            return Either.left(invalidJob("expectedRunMs", "must be at least 1"));
        }
        if (maxAttempts != null && (maxAttempts < 1 || maxAttempts > MAX_ATTEMPTS)) {
            return Either.left(invalidJob("maxAttempts", "must be from 1 to " + MAX_ATTEMPTS));
        }
        return checkPerTask()
                .orElse(this::checkParameters)
                .map(Either::<Failure, JobRequest>left)
                .getOrElse(() -> Either.right(this));
    }

    private Option<Failure> checkPerTask() {
        if (perTask == null || perTask.milliCores() < 1 || perTask.memoryMib() < 1 || perTask.accelerators() < 0) {
            return Option.of(invalidJob(
                    "perTask", "needs milliCores and memoryMib of at least 1 and accelerators of at least 0"));
        }
        return Option.none();
    }

    private Option<Failure> checkParameters() {
        if (parameters == null) {
            return Option.none();
        }
        boolean tooLong = parameters.entrySet().stream()
                .anyMatch(e -> e.getValue() == null
                        || e.getKey().length() + e.getValue().length() > MAX_PARAMETER_LENGTH);
        if (parameters.size() > MAX_PARAMETERS || tooLong) {
            return Option.of(invalidJob(
                    "parameters",
                    "at most " + MAX_PARAMETERS + " entries of at most " + MAX_PARAMETER_LENGTH + " characters"));
        }
        return Option.none();
    }
}
