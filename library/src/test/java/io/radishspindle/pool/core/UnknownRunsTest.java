package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against overcommitted workers when a worker reports runs of ended jobs, whose steps a new owner lacks. */
class UnknownRunsTest {
    private final PoolScheduler scheduler = new PoolScheduler();
    private long nowMs = 1_000;

    @BeforeEach
    void listWorker() {
        scheduler.loadEnded("ended", JobPhase.CANCELLED, 500);
        scheduler.beginRecovery(nowMs);
        scheduler.onWorkerRegistered(
                new WorkerEntry(
                        "w",
                        "pool",
                        "10.0.0.1",
                        80,
                        "dc",
                        "r",
                        false,
                        -1,
                        1,
                        new Resources(16_000, 32_000, 0),
                        List.of()),
                nowMs);
    }

    private void report(int... indices) {
        List<RunningTask> running = Arrays.stream(indices)
                .mapToObj(index -> new RunningTask(new Run(new TaskName("ended", 0, 0, index), 1), "", 100, 8_000))
                .toList();
        scheduler.onHoldReply(
                "w", scheduler.holdOrder("w", nowMs, 1), new WorkerReport(1, nowMs, running, List.of()), nowMs, nowMs);
        nowMs += 50;
    }

    private long starts() {
        return scheduler.schedule(nowMs, nowMs, new LimitedChannels(0, 0)).stream()
                .filter(PoolAction.Start.class::isInstance)
                .count();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void should_start_nothing_beside_a_run_whose_resources_are_unknown(int remaining) {
        // given
        report(0, 1);
        scheduler.submit(SimJobs.job("new", 0, nowMs, SimJobs.step(1, 9_000, 0, 500)));

        // when
        report(remaining);

        // then
        assertThat(starts()).isZero();
        report();
        assertThat(starts()).isEqualTo(1);
    }
}
