package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.pool.tenant.TenantLimits;
import io.radishspindle.pool.tenant.TenantWeights;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against decisions of a new owner that count the workers that are registered at the moment: what runs on the
 * others is started again, or two owners have a majority, or an entry without a worker stops the pool.
 */
class RecordedWorkersTest {
    private static final int RECORDED = 5;
    /** The previous owner's leases have certainly expired this long after a majority answers the new one. */
    private static final long LEASES_EXPIRED_MS = 8_900;

    private final SimRoster roster = new SimRoster(recorded());
    private final PoolScheduler scheduler =
            new PoolScheduler(new PoolOptions(TenantLimits.NONE, new DeclaredRunTimes(), TenantWeights.NONE, roster));
    private final Map<String, List<Run>> runs = new HashMap<>();
    private long nowMs = 10_000;

    private static Map<String, WorkerEntry> recorded() {
        Map<String, WorkerEntry> entries = new HashMap<>();
        for (int i = 0; i < RECORDED; i++) {
            entries.put("w" + i, entry("w" + i));
        }
        return entries;
    }

    private static WorkerEntry entry(String id) {
        return new WorkerEntry(
                id, "pool", "10.0.0.1", 80, "dc", "r", false, -1, 1, new Resources(64_000, 32_000, 0), List.of());
    }

    private void takeOver(int registered) {
        scheduler.load(SimJobs.job("old", 0, nowMs, SimJobs.step(1, 1_000, 0, 60_000)), null, false, nowMs);
        roster.recorded.values().forEach(scheduler::onWorkerRecorded);
        for (int i = 0; i < registered; i++) {
            scheduler.onWorkerRegistered(entry("w" + i), nowMs);
        }
        scheduler.beginRecovery(nowMs);
    }

    private void answer(int from, int to) {
        for (int i = from; i < to; i++) {
            report("w" + i);
        }
    }

    private void report(String worker) {
        List<RunningTask> running = runs.getOrDefault(worker, List.of()).stream()
                .map(run -> new RunningTask(run, "", 100, -1))
                .toList();
        scheduler.onHoldReply(
                worker,
                scheduler.holdOrder(worker, nowMs, 1),
                new WorkerReport(1, nowMs, running, List.of()),
                nowMs,
                nowMs);
    }

    /** Makes passes for a time in which some workers answer; returns the names of the tasks that are started. */
    private List<String> passes(long durationMs, int answering) {
        List<String> started = new ArrayList<>();
        for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += 100) {
            answer(0, answering);
            scheduler.schedule(nowMs, nowMs, new LimitedChannels(4, 4)).stream()
                    .filter(PoolAction.Start.class::isInstance)
                    .map(PoolAction.Start.class::cast)
                    .forEach(start -> {
                        Run run = start.order().run();
                        started.add(run.task().jobId());
                        runs.computeIfAbsent(start.worker().id(), ignored -> new ArrayList<>())
                                .add(run);
                        scheduler.onStartReply(start.worker().id(), run, Answer.ACCEPTED, nowMs);
                    });
        }
        return started;
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 4, 5})
    void should_start_loaded_tasks_as_soon_as_all_recorded_workers_have_reported(int registered) {
        // given
        takeOver(registered);

        // when
        answer(3, RECORDED);

        // then
        assertThat(passes(100, 3)).containsExactly("old");
    }

    @ParameterizedTest
    @CsvSource({"3, 3", "4, 4", "5, 3", "5, 4"})
    void should_wait_for_the_leases_of_a_recorded_worker_that_stays_silent(int registered, int answering) {
        // given
        takeOver(registered);

        // then
        assertThat(passes(LEASES_EXPIRED_MS - 300, answering)).isEmpty();
        assertThat(passes(500, answering)).containsExactly("old");
    }

    @Test
    void should_adopt_the_run_that_a_worker_without_a_registration_reports() {
        // given
        takeOver(3);
        runs.put("w4", List.of(new Run(new TaskName("old", 0, 0, 0), 1)));

        // then
        assertThat(passes(2_000, RECORDED)).isEmpty();
        assertThat(scheduler.isRecovering(nowMs)).isFalse();
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void should_start_nothing_without_a_majority_of_the_recorded_workers(int answering) {
        // given all workers registered, so that the silent ones may answer another owner
        takeOver(RECORDED);
        scheduler.submit(SimJobs.job("new", 0, nowMs, SimJobs.step(1, 1_000, 0, 60_000)));

        // then
        assertThat(passes(20_000, answering)).isEmpty();
        assertThat(scheduler.isRecovering(nowMs)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2})
    void should_go_on_with_the_rest_once_missing_registrations_would_be_back(int registered) {
        // given that most recorded workers have left while the pool had no owner
        takeOver(registered);
        scheduler.submit(SimJobs.job("new", 0, nowMs, SimJobs.step(1, 1_000, 0, 60_000)));

        // then
        assertThat(passes(2_000, registered)).isEmpty();
        assertThat(passes(1_000, registered)).containsExactly("new");
        assertThat(passes(LEASES_EXPIRED_MS, registered)).containsExactly("old");
    }

    @Test
    void should_not_wait_for_a_recorded_worker_whose_address_another_one_has() {
        // given
        takeOver(4);

        // when
        scheduler.onWorkerReplaced(entry("w4"), nowMs, nowMs);

        // then
        assertThat(passes(100, 4)).containsExactly("old");
    }

    @Test
    void should_wait_for_the_leases_if_earlier_owners_recorded_nothing() {
        // given
        roster.complete = false;
        takeOver(RECORDED);

        // then
        assertThat(passes(LEASES_EXPIRED_MS - 300, RECORDED)).isEmpty();
        assertThat(passes(500, RECORDED)).containsExactly("old");
    }

    @Test
    void should_need_a_majority_without_the_workers_that_are_being_recorded() {
        // given
        takeOver(RECORDED);
        for (int i = 0; i < 4; i++) {
            roster.adding.put("x" + i, entry("x" + i));
            scheduler.onWorkerRegistered(entry("x" + i), nowMs);
            report("x" + i);
        }

        // then
        answer(0, 2);
        assertThat(scheduler.hasQuorum(nowMs)).isFalse();
        answer(2, 3);
        assertThat(scheduler.hasQuorum(nowMs)).isTrue();
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 5, 1_000})
    void should_not_count_entries_whose_workers_never_answered(int entries) {
        // given
        takeOver(RECORDED);
        for (int i = 0; i < entries; i++) {
            scheduler.onWorkerRegistered(entry("x" + i), nowMs);
        }

        // then
        assertThat(passes(100, RECORDED)).containsExactly("old");
    }
}
