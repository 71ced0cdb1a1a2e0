package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.core.ProgressLedger;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against progress that regresses when a write whose answer was lost is executed late. */
class ProgressWriterTest {
    private static final String POOL = "desk";
    private static final long CLAIM = 5;

    private final FakeSharedStore store = new FakeSharedStore();
    private final PoolScheduler scheduler = new PoolScheduler();
    private final Promise<String> superseded = Promise.promise();
    private Promise<Void> durable = Promise.promise();
    private Vertx vertx;
    private Context context;
    private ProgressWriter writer;

    @BeforeEach
    void createWriter() {
        vertx = Vertx.vertx();
        context = vertx.getOrCreateContext();
        store.items.put(StoreKeys.owner(POOL), new Item(StoreKeys.owner(POOL), new byte[] {1}, CLAIM));
        writer = new ProgressWriter(
                vertx, new SystemClock(), store, POOL, CLAIM, scheduler, new ProgressWriter.Listener() {
                    @Override
                    public void onDurable() {
                        durable.tryComplete();
                    }

                    @Override
                    public void onSuperseded(String reason) {
                        superseded.tryComplete(reason);
                    }
                });
        scheduler.load(job("j", "studio"), null, false, 1);
    }

    private static PoolJob job(String id) {
        return job(id, null);
    }

    private static PoolJob job(String id, @Nullable String tenant) {
        StepSpec step = new StepSpec(
                1, new Resources(1, 1, 0), 1, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        return new PoolJob(id, "q", POOL, "p", List.of(step), 1, 0, 0, 1, 0, 1, 1, 1, null, tenant, "h/q/");
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    /** Marks the job's progress in the given phase as unwritten and waits until it is written. */
    private void write(JobPhase phase) throws TimeoutException {
        durable = Promise.promise();
        context.runOnContext(ignored -> {
            scheduler
                    .progress()
                    .onWriteFailed(new ProgressLedger.Batch(0, Map.of("j", new JobProgress(phase, 0, List.of()))));
            writer.scheduleWrite();
        });
        durable.future().await(10, TimeUnit.SECONDS);
    }

    private long revision() {
        return store.items.get(StoreKeys.progress(POOL, "j")).revision();
    }

    @Test
    void should_not_let_a_late_write_undo_a_newer_one() throws TimeoutException {
        // given
        store.firstFaults.add(Fault.LOSE_CALL);
        write(JobPhase.RUNNING);
        long newest = revision();

        // when
        store.lostCalls.forEach(Runnable::run);

        // then
        assertThat(store.lostCalls).hasSize(1);
        assertThat(revision()).isEqualTo(newest);
    }

    @Test
    void should_write_again_after_a_lost_answer() throws TimeoutException {
        // given
        store.firstFaults.add(Fault.LOSE_ANSWER);

        // when
        write(JobPhase.RUNNING);
        write(JobPhase.RUNNING);

        // then
        assertThat(store.calls).isEqualTo(4);
        assertThat(superseded.future().isComplete()).isFalse();
    }

    @Test
    void should_report_that_its_claim_was_superseded() throws TimeoutException {
        // given
        store.items.put(StoreKeys.owner(POOL), new Item(StoreKeys.owner(POOL), new byte[] {1}, CLAIM + 1));

        // when
        context.runOnContext(ignored -> {
            scheduler
                    .progress()
                    .onWriteFailed(
                            new ProgressLedger.Batch(0, Map.of("j", new JobProgress(JobPhase.RUNNING, 0, List.of()))));
            writer.scheduleWrite();
        });

        // then
        assertThat(superseded.future().await(10, TimeUnit.SECONDS)).contains("replaced");
    }

    /** A new owner reads the items of all jobs; whole items of ended jobs took most of that time. */
    @Test
    void should_replace_the_item_of_a_job_that_has_ended() throws TimeoutException {
        // given
        byte[] unfinished = new byte[2_000];
        unfinished[0] = (byte) 0x8e;
        store.items.put(StoreKeys.job(POOL, "j"), new Item(StoreKeys.job(POOL, "j"), unfinished, 3));
        context.runOnContext(ignored -> scheduler.cancel("j", 1));

        // when
        write(JobPhase.CANCELLED);

        // then
        byte[] value = store.items.get(StoreKeys.job(POOL, "j")).value();
        assertThat(Records.isEndedJob(unfinished)).isFalse();
        assertThat(Records.isEndedJob(value)).isTrue();
        assertThat(value).hasSizeLessThan(30);
        assertThat(Records.tenantOfJob("j", value)).contains("studio");
    }

    /** A burst of short jobs while the store takes 300 ms per call. */
    @Test
    void should_write_other_jobs_while_a_write_is_in_flight() throws TimeoutException {
        // given
        submitJobs(60);
        store.hangs = true;

        // when
        context.runOnContext(ignored -> writer.scheduleWrite());
        await(() -> store.hanging.size() == 4);

        // then no more than four writes, each with jobs of its own
        store.hangs = false;
        context.runOnContext(ignored -> store.hanging.forEach(Runnable::run));
        await(() -> store.items.keySet().stream()
                        .filter(key -> key.startsWith(StoreKeys.allProgress(POOL)))
                        .count()
                >= 60);
        assertThat(store.hanging).hasSize(4);
        assertThat(superseded.future().isComplete()).isFalse();
    }

    private void submitJobs(int count) {
        Map<String, JobProgress> progress = new HashMap<>();
        for (int i = 0; i < count; i++) {
            scheduler.load(job("k" + i), null, false, 1);
            progress.put("k" + i, new JobProgress(JobPhase.RUNNING, 0, List.of()));
        }
        scheduler.progress().onWriteFailed(new ProgressLedger.Batch(0, progress));
    }

    /** Waits until the condition holds on the event loop of the writer. */
    private void await(BooleanSupplier condition) throws TimeoutException {
        long endNs = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        boolean met = false;
        while (!met) {
            assertThat(System.nanoTime()).as("time of the test").isLessThan(endNs);
            Promise<Boolean> answer = Promise.promise();
            context.runOnContext(ignored -> answer.complete(condition.getAsBoolean()));
            met = answer.future().await(10, TimeUnit.SECONDS);
        }
    }
}
