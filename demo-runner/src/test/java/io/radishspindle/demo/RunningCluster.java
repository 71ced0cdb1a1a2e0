package io.radishspindle.demo;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.demo.JobLoad.Job;
import io.radishspindle.model.JobClass;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;

/** A small cluster of real processes with a caller. Used by one test. */
final class RunningCluster implements AutoCloseable {
    static final long LIMIT_MS = 90_000;
    private static final long SEED = 11;

    /** Below the ports of outgoing connections; differs between builds that run at the same time. */
    private static final int FIRST_PORT =
            20_000 + (int) (ProcessHandle.current().pid() % 600) * 20;

    final Cluster cluster;
    final Http http = new Http();
    final JobDriver jobs;

    RunningCluster() {
        Path root = Path.of("").toAbsolutePath().getParent();
        cluster =
                new Cluster(ClusterPlan.small(), Programs.under(root), FIRST_PORT, Path.of("target", "process-tests"));
        jobs = new JobDriver(cluster.entryVms(), SEED);
        cluster.entryVms().forEach(this::awaitReady);
    }

    void awaitReady(EntryVm vm) {
        await("ready: " + vm.id(), () -> http.get(vm.operatorsUrl() + "/ready").status() == 200);
    }

    /** Waits for a condition; fails with what was waited for and where the logs are. */
    void await(String what, BooleanSupplier condition) {
        assertThat(Wait.until(LIMIT_MS, condition))
                .as(what + "; logs in " + cluster.directory())
                .isTrue();
    }

    void submitBatch(String name, int count, long runMs) {
        IntStream.range(0, count)
                .forEach(i -> jobs.submit(JobLoad.job(name + "-" + i, JobClass.BATCH, 2, 2_000, 0, runMs)));
    }

    void submitService(String name) {
        jobs.submit(JobLoad.service(name));
        await(name + " runs", () -> jobs.services().stream().allMatch(jobs::isDone));
    }

    /** All accepted jobs reach what is expected of them, and the workers' records show no violation. */
    void awaitAllDoneWithoutViolation(int expectedJobs) {
        assertThat(jobs.accepted()).hasSize(expectedJobs);
        await("all jobs done", () -> jobs.accepted().stream().allMatch(jobs::isDone));
        WorkerHistories histories = WorkerHistories.of(cluster);
        assertThat(histories.tasksInTwoPlaces()).isEmpty();
        assertThat(histories.overfullWorkers()).isEmpty();
    }

    /** Number of attempts of all services together; more than their replicas means that one was interrupted. */
    long serviceAttempts() {
        WorkerHistories histories = WorkerHistories.of(cluster);
        return jobs.services().stream()
                .flatMap(job -> histories.segmentsOf(job.jobId()).stream())
                .map(WorkerHistories.Segment::attempt)
                .distinct()
                .count();
    }

    /** Sends a signal to a process of the cluster. */
    void signal(String name, String signal) {
        long pid = cluster.children().get(name).pid();
        try {
            Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start();
            assertThat(kill.waitFor()).isZero();
        } catch (IOException | InterruptedException e) {
            throw new AssertionError("signal " + signal, e);
        }
    }

    void setStoreFaults(String json) {
        Http.Result result = http.call("POST", cluster.storeUrl() + "/admin/faults", Map.of(), json);
        assertThat(result.status()).isEqualTo(200);
    }

    /** An entry VM that owns a group. */
    String ownerOfAGroup() {
        await("every group has an owner", () -> GroupOwners.read(http, cluster).size() == 2);
        return GroupOwners.read(http, cluster).values().iterator().next();
    }

    EntryVm vm(int index) {
        return cluster.entryVms().get(index);
    }

    /** A driver for requests that all go to one entry VM. */
    RequestDriver requestsTo(EntryVm vm, int concurrency) {
        return new RequestDriver(List.of(vm), SEED, concurrency);
    }

    static Job urgent(String key) {
        return JobLoad.job(key, JobClass.URGENT, 1, 500, 0, 100);
    }

    @Override
    public void close() {
        cluster.close();
    }
}
