package io.radishspindle.demo;

import io.radishspindle.demo.JobLoad.Expected;
import io.radishspindle.demo.JobLoad.Job;
import io.radishspindle.model.JobStatus.Phase;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.Logger;

/**
 * Submits jobs as a caller would and follows them to their end. Thread-safe.
 *
 * <p>A submission is repeated under the same idempotency key until its outcome is certain, so it is never doubled.
 */
final class JobDriver {
    /** A submission to a paused VM waits for the HTTP timeout of 15 s, and that may happen several times in a row. */
    private static final long SUBMIT_LIMIT_MS = 90_000;

    private static final long RETRY_MS = 200;
    private static final int CONFLICT = 409;

    /** How a conflict of a keyed submission names the job; the last part of a job id derived from a key is a UUID. */
    private static final Pattern SUFFIX = Pattern.compile("ends with ([0-9a-f-]{36})");

    /**
     * An accepted job.
     *
     * @param firstTriedAtMs wall-clock time of its first submission
     * @param submittedAtMs wall-clock time of the submission that was accepted
     */
    record Accepted(Job job, String jobId, long firstTriedAtMs, long submittedAtMs) {}

    private final Http http = new Http();
    private final List<EntryVm> vms;
    private final Random random;
    private final Map<String, Accepted> accepted = new ConcurrentHashMap<>();
    private final Map<String, Http.Result> rejected = new ConcurrentHashMap<>();
    private final AtomicInteger refusedNotRun = new AtomicInteger();
    private final AtomicInteger undecided = new AtomicInteger();

    JobDriver(List<EntryVm> vms, long seed) {
        this.vms = vms;
        this.random = new Random(seed);
    }

    /** Submits a job and waits until it is accepted or rejected for good. */
    void submit(Job job) {
        long firstTriedAtMs = System.currentTimeMillis();
        boolean decided = Wait.until(SUBMIT_LIMIT_MS, () -> trySubmit(job, firstTriedAtMs));
        if (!decided) {
            Logger.warn("event=submit-gave-up job={}", job.key());
        }
    }

    private boolean trySubmit(Job job, long firstTriedAtMs) {
        long submittedAtMs = System.currentTimeMillis();
        Map<String, String> headers =
                Map.of("Content-Type", "application/json", "Caller", "demo", "Idempotency-Key", job.key());
        Http.Result result = http.call(
                "POST", anyVm().callersUrl() + "/jobs", headers, job.body().encode());
        if (result.isSuccess()) {
            String jobId = result.json().getString("jobId");
            accepted.put(job.key(), new Accepted(job, jobId, firstTriedAtMs, submittedAtMs));
            return true;
        }
        if (result.status() == CONFLICT) {
            undecided.incrementAndGet();
            Logger.info("event=job-undecided job={} body={}", job.key(), result.body());
            Wait.pause(RETRY_MS);
            return findAccepted(job, firstTriedAtMs, submittedAtMs, result.body());
        }
        if (result.status() >= 400 && result.status() < 500 && result.status() != 429) {
            rejected.put(job.key(), result);
            Logger.info("event=job-rejected job={} status={} body={}", job.key(), result.status(), result.body());
            return true;
        }
        if (result.isNotRun()) {
            refusedNotRun.incrementAndGet();
        }
        Wait.pause(RETRY_MS);
        return false;
    }

    /**
     * Looks for the job of a key that was submitted before; its id ends with the suffix that the answer names. If
     * none is found, the submission is repeated, which the key makes safe.
     */
    private boolean findAccepted(Job job, long firstTriedAtMs, long submittedAtMs, String answer) {
        Matcher suffix = SUFFIX.matcher(answer);
        if (!suffix.find()) {
            return false;
        }
        Matcher id = Pattern.compile("\"jobId\":\"([^\"]*" + suffix.group(1) + ")\"")
                .matcher(http.get(anyVm().callersUrl() + "/jobs").body());
        boolean found = id.find();
        if (found) {
            accepted.put(job.key(), new Accepted(job, id.group(1), firstTriedAtMs, submittedAtMs));
        }
        return found;
    }

    /** State of a job as any entry VM tells it; empty if none knows it at the moment. */
    Optional<JsonObject> status(Accepted job) {
        Http.Result result = http.get(anyVm().callersUrl() + "/jobs/" + job.jobId());
        return result.status() == 200 ? Optional.of(result.json()) : Optional.empty();
    }

    /** Whether a job has reached what is expected of it. */
    boolean isDone(Accepted job) {
        return status(job).map(status -> isDone(job.job(), status)).orElse(false);
    }

    private static boolean isDone(Job job, JsonObject status) {
        Phase phase = Phase.valueOf(status.getString("phase"));
        return switch (job.expected()) {
            case SUCCEEDED -> phase == Phase.SUCCEEDED;
            case FAILED -> phase == Phase.FAILED || phase == Phase.SET_ASIDE;
            case KEPT_RUNNING -> phase == Phase.CANCELLED || status.getInteger("running") == job.tasks();
            case REFUSED -> true;
        };
    }

    /** Cancels a job; false if that has to be tried again. */
    boolean cancel(Accepted job) {
        http.call("DELETE", anyVm().callersUrl() + "/jobs/" + job.jobId(), Map.of("Caller", "demo"), "");
        return status(job)
                .map(status -> status.getString("phase").equals(Phase.CANCELLED.name()))
                .orElse(false);
    }

    List<Accepted> accepted() {
        return List.copyOf(accepted.values());
    }

    List<Accepted> services() {
        return accepted().stream()
                .filter(job -> job.job().expected() == Expected.KEPT_RUNNING)
                .toList();
    }

    boolean isRejected(Job job) {
        return rejected.containsKey(job.key());
    }

    /** How often a repeated submission was told that an earlier one is not decided yet or was accepted. */
    int undecided() {
        return undecided.get();
    }

    int refusedNotRun() {
        return refusedNotRun.get();
    }

    private synchronized EntryVm anyVm() {
        return vms.get(random.nextInt(vms.size()));
    }
}
