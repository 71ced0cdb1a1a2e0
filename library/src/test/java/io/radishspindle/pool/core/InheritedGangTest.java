package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a new owner that stops the running gangs of its pool as incomplete, because their workers report one
 * after the other.
 */
class InheritedGangTest {
    private final PoolScheduler scheduler = new PoolScheduler();
    private final List<PoolAction> stops = new ArrayList<>();
    private long nowMs = 10_000;

    @BeforeEach
    void takeOver() {
        for (String id : List.of("w0", "w1", "w2")) {
            Resources capacity = new Resources(16_000, 32_000, 0);
            scheduler.onWorkerRegistered(
                    new WorkerEntry(id, "pool", "10.0.0.1", 80, "dc", "r", false, -1, 1, capacity, List.of()), nowMs);
        }
        scheduler.load(SimJobs.job("g", 0, nowMs, SimJobs.gang(3, 4_000, 0, 5_000)), null, false, nowMs);
        scheduler.beginRecovery(nowMs);
    }

    private void report(int worker, boolean runsMember) {
        Run run = new Run(new TaskName("g", 0, 0, worker), 1);
        List<RunningTask> running = runsMember ? List.of(new RunningTask(run, "", 100, 4_000)) : List.of();
        scheduler.onHoldReply(
                "w" + worker,
                scheduler.holdOrder("w" + worker, nowMs, 1),
                new WorkerReport(1, nowMs, running, List.of()),
                nowMs,
                nowMs);
    }

    private void passAfter(long durationMs) {
        nowMs += durationMs;
        scheduler.schedule(nowMs, nowMs, new LimitedChannels(4, 4)).stream()
                .filter(PoolAction.Stop.class::isInstance)
                .forEach(stops::add);
    }

    @Test
    void should_keep_a_gang_whose_workers_report_one_after_the_other() {
        for (int worker = 0; worker < 3; worker++) {
            report(worker, true);
            passAfter(400);
        }
        passAfter(400);

        assertThat(stops).isEmpty();
        assertThat(scheduler.isRecovering(nowMs)).isFalse();
    }

    @Test
    void should_stop_a_gang_as_soon_as_all_workers_have_reported_without_a_member() {
        // given
        report(0, true);
        report(1, true);
        passAfter(400);
        assertThat(stops).isEmpty();

        // when
        report(2, false);
        passAfter(50);

        // then
        assertThat(stops).hasSize(2);
    }

    /** A gang without one of its members ends by itself after 5 s; it must be stopped earlier. */
    @Test
    void should_stop_a_gang_if_the_worker_of_a_member_stays_silent() {
        // given
        report(0, true);
        report(1, true);

        // when
        passAfter(2_500);
        assertThat(stops).isEmpty();
        passAfter(200);

        // then
        assertThat(stops).hasSize(2);
    }
}
