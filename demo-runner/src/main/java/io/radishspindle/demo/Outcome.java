package io.radishspindle.demo;

import io.radishspindle.demo.JobDriver.Accepted;
import io.radishspindle.demo.JobLoad.Expected;
import io.radishspindle.demo.JobLoad.Job;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.TaskId;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.HdrHistogram.Histogram;

/**
 * What the demonstration found, from the records of callers, workers and endpoints. Not thread-safe.
 *
 * <p>Invariant: {@link #problems} is empty exactly if all guarantees that the demonstration checks held.
 */
final class Outcome {
    private static final int SIGNIFICANT_DIGITS = 3;

    final List<String> problems = new ArrayList<>();

    /** From the submission that was accepted until the first start. */
    final Map<JobClass, Histogram> waitingMs = new EnumMap<>(JobClass.class);

    /** From the first submission until the first start; includes repeated submissions. */
    final Map<JobClass, Histogram> totalMs = new EnumMap<>(JobClass.class);

    int jobsLost;
    int jobsFinished;
    int requestsLost;
    int ranThoughRefused;
    List<String> inTwoPlaces = List.of();
    List<String> overfull = List.of();
    Set<String> unknownJobs = Set.of();
    List<String> ranTwice = List.of();

    /** Checks the jobs; {@code done} are those that reached what was expected of them. */
    void checkJobs(List<Job> submitted, JobDriver driver, Set<Accepted> done, WorkerHistories workers) {
        inTwoPlaces = workers.tasksInTwoPlaces();
        overfull = workers.overfullWorkers();
        for (Accepted job : driver.accepted()) {
            boolean finished = done.contains(job) && tasksSucceeded(job, workers);
            jobsFinished += finished ? 1 : 0;
            jobsLost += finished ? 0 : 1;
            add(!finished, "job " + job.job().key() + " " + job.jobId() + " did not end as expected");
            addWaiting(job, workers);
        }
        for (Job job : submitted) {
            boolean refused = driver.isRejected(job);
            add(refused != (job.expected() == Expected.REFUSED), "job " + job.key() + " rejected: " + refused);
        }
        add(driver.accepted().size() + 1 != submitted.size(), "not every submission was decided");
        unknownJobs = new TreeSet<>(workers.jobIds());
        driver.accepted().forEach(job -> unknownJobs.remove(job.jobId()));
        unknownJobs.forEach(id -> add(true, "job " + id + " ran although its caller was never told its id"));
        inTwoPlaces.forEach(text -> add(true, "task in two places: " + text));
        overfull.forEach(text -> add(true, "overfull worker: " + text));
    }

    /** Checks the requests. */
    void checkRequests(int sent, RequestDriver driver, EndpointHistories endpoints) {
        ranTwice = endpoints.nonIdempotentRunTwice();
        ranTwice.forEach(text -> add(true, "request run twice: " + text));
        for (String id : driver.answered) {
            boolean lost = endpoints.runsOf(id) == 0;
            requestsLost += lost ? 1 : 0;
            add(lost, "request " + id + " was answered but no endpoint ran it");
        }
        for (String id : driver.refused) {
            boolean ran = endpoints.runsOf(id) > 0;
            ranThoughRefused += ran ? 1 : 0;
            add(ran, "request " + id + " was refused as not run but ran");
        }
        driver.swapped.forEach(id -> add(true, "request " + id + " got the answer to another one"));
        driver.givenUp.forEach(number -> add(true, "request " + number + " was never run"));
        int decided = driver.answered.size() + driver.givenUp.size() + driver.swapped.size();
        add(decided + driver.unknown.size() < sent, "requests without any outcome");
        requestsLost += driver.givenUp.size();
    }

    private static boolean tasksSucceeded(Accepted job, WorkerHistories workers) {
        return job.job().expected() != Expected.SUCCEEDED
                || IntStream.range(0, job.job().tasks())
                        .allMatch(i -> workers.hasSucceeded(new TaskId(job.jobId(), i)));
    }

    private void addWaiting(Accepted job, WorkerHistories workers) {
        JobClass jobClass = job.job().jobClass();
        Histogram waiting = waitingMs.computeIfAbsent(jobClass, c -> new Histogram(SIGNIFICANT_DIGITS));
        Histogram total = totalMs.computeIfAbsent(jobClass, c -> new Histogram(SIGNIFICANT_DIGITS));
        for (int i = 0; i < job.job().tasks(); i++) {
            workers.firstStartMs(new TaskId(job.jobId(), i)).ifPresent(atMs -> {
                waiting.recordValue(Math.max(0, atMs - job.submittedAtMs()));
                total.recordValue(Math.max(0, atMs - job.firstTriedAtMs()));
            });
        }
    }

    private void add(boolean holds, String problem) {
        if (holds) {
            problems.add(problem);
        }
    }
}
