package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.AdvicePolicy;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.model.WorkerReport.RunningTask;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against starts by the labels and the capacity of an incarnation of a worker that has ended: a worker may
 * restart under its id as one of another kind, and its registration and its reports change at different times.
 */
class RestartedWorkerTest {
    private static final long OLD_BOOT = 1;
    private static final long NEW_BOOT = 2;

    /** What the scheduler decides by the registration of a worker. */
    enum Decision {
        START(nowMs -> SimJobs.job("job", 0, nowMs, SimJobs.step(1, 4_000, 0, 500))),
        GANG(nowMs -> SimJobs.job("job", 0, nowMs, SimJobs.gang(2, 2_000, 0, 500))),
        ADVICE(nowMs ->
                SimJobs.advised("job", 0, nowMs, new AdvicePolicy(10, 1, 1_000), SimJobs.step(1, 4_000, 0, 500)));

        private final LongFunction<PoolJob> job;

        Decision(LongFunction<PoolJob> job) {
            this.job = job;
        }
    }

    private final PoolScheduler scheduler = new PoolScheduler();
    private long nowMs = 10_000;

    @BeforeEach
    void start_old_incarnation() {
        register("w", OLD_BOOT, 8_000, "a");
        report("w", OLD_BOOT);
    }

    private void register(String id, long bootWallMs, long milliCores, String label) {
        Resources capacity = new Resources(milliCores, 32_000, 0);
        scheduler.onWorkerRegistered(
                new WorkerEntry(id, "pool", "10.0.0.1", 80, "dc", "r", false, -1, bootWallMs, capacity, List.of(label)),
                nowMs);
    }

    private SentHold report(String id, long bootWallMs, RunningTask... running) {
        nowMs += 10;
        SentHold hold = scheduler.holdOrder(id, nowMs, 1);
        scheduler.onHoldReply(id, hold, new WorkerReport(bootWallMs, nowMs, List.of(running), List.of()), nowMs, nowMs);
        return hold;
    }

    private List<PoolAction> decided() {
        return scheduler.schedule(nowMs, nowMs, new LimitedChannels(4, 4)).stream()
                .filter(action -> !(action instanceof PoolAction.WorkerChanged))
                .toList();
    }

    private List<String> started() {
        return decided().stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(action -> ((PoolAction.Start) action).order().run().task().jobId())
                .toList();
    }

    private void submit(String id, String label, long milliCores) {
        scheduler.submit(SimJobs.job(id, 0, nowMs, SimJobs.withLabel(SimJobs.step(1, milliCores, 0, 500), label)));
    }

    @ParameterizedTest
    @CsvSource({"START, true", "START, false", "GANG, true", "GANG, false", "ADVICE, true", "ADVICE, false"})
    void should_use_a_worker_only_while_registration_and_report_agree(Decision decision, boolean reportFirst) {
        // given
        if (reportFirst) {
            report("w", NEW_BOOT);
        } else {
            register("w", NEW_BOOT, 4_000, "b");
        }

        // when
        scheduler.submit(decision.job.apply(nowMs));

        // then
        assertThat(decided()).isEmpty();

        // when the other one arrives, too
        register("w", NEW_BOOT, 4_000, "b");
        report("w", NEW_BOOT);

        // then
        assertThat(decided()).isNotEmpty();
    }

    @ParameterizedTest
    @EnumSource(
            value = Decision.class,
            names = {"START", "GANG"})
    void should_hold_the_limits_of_the_new_incarnation(Decision decision) {
        // given
        report("w", NEW_BOOT);
        submit("other-kind", "a", 1_000);
        submit("too-large", "b", 8_000);
        scheduler.submit(decision.job.apply(nowMs));
        assertThat(started()).isEmpty();

        // when
        register("w", NEW_BOOT, 4_000, "b");

        // then
        assertThat(started()).containsOnly("job");

        // when
        submit("beyond", "b", 1_000);

        // then
        assertThat(started()).isEmpty();
    }

    @Test
    void should_keep_runs_and_use_other_workers_while_a_registration_stays_old() {
        // given a worker of which an earlier owner knew the registration
        submit("kept", "", 4_000);
        Run run = new Run(new TaskName("kept", 0, 0, 0), 1);
        report("w", NEW_BOOT, new RunningTask(run, "", 100, 4_000));
        register("v", OLD_BOOT, 8_000, "b");
        submit("elsewhere", "b", 8_000);
        submit("old-kind", "a", 1_000);

        // when
        List<PoolAction> decided = new ArrayList<>();
        SentHold last = null;
        for (long endMs = nowMs + 30_000; nowMs < endMs; ) {
            last = report("w", NEW_BOOT, new RunningTask(run, "", 100, 4_000));
            report("v", OLD_BOOT, runsOf("elsewhere", decided));
            decided.addAll(decided());
            nowMs += 200;
        }

        // then the only order is the start elsewhere, beside lines for the log
        assertThat(decided)
                .filteredOn(action -> !(action instanceof PoolAction.TaskDelayed))
                .singleElement()
                .isInstanceOf(PoolAction.Start.class);
        assertThat(runsOf("elsewhere", decided)).hasSize(1);
        assertThat(last.order().leaseEndWorkerMs()).isPositive();
    }

    private static RunningTask[] runsOf(String job, List<PoolAction> decided) {
        return decided.stream()
                .filter(PoolAction.Start.class::isInstance)
                .map(action -> ((PoolAction.Start) action).order().run())
                .filter(run -> run.task().jobId().equals(job))
                .map(run -> new RunningTask(run, "", 100, 8_000))
                .toArray(RunningTask[]::new);
    }
}
