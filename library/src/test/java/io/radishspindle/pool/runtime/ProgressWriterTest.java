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
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against progress that goes back when a write without an answer is carried out late. */
class ProgressWriterTest {
    private static final String POOL = "desk";
    private static final long CLAIM = 5;

    private final FakeSharedStore store = new FakeSharedStore();
    private final PoolScheduler scheduler = new PoolScheduler();
    private final Promise<String> deposed = Promise.promise();
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
                    public void onDeposed(String reason) {
                        deposed.tryComplete(reason);
                    }
                });
        StepSpec step = new StepSpec(
                1, new Resources(1, 1, 0), 1, List.of(), false, false, false, "", "", 0, false, false, "", 0, false, 0);
        scheduler.load(new PoolJob("j", "q", POOL, "p", List.of(step), 1, 0, 0, 1, 0, 1, 1, 1, null), null, false, 1);
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    /** Makes the job dirty in the given phase and waits until that is written. */
    private void write(JobPhase phase) throws TimeoutException {
        durable = Promise.promise();
        context.runOnContext(ignored -> {
            scheduler
                    .progress()
                    .notWritten(new ProgressLedger.Batch(Map.of("j", new JobProgress(phase, 0, List.of())), Map.of()));
            writer.poke();
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
        assertThat(deposed.future().isComplete()).isFalse();
    }

    @Test
    void should_report_a_replaced_claim() throws TimeoutException {
        // given
        store.items.put(StoreKeys.owner(POOL), new Item(StoreKeys.owner(POOL), new byte[] {1}, CLAIM + 1));

        // when
        context.runOnContext(ignored -> {
            scheduler
                    .progress()
                    .notWritten(new ProgressLedger.Batch(
                            Map.of("j", new JobProgress(JobPhase.RUNNING, 0, List.of())), Map.of()));
            writer.poke();
        });

        // then
        assertThat(deposed.future().await(10, TimeUnit.SECONDS)).contains("replaced");
    }
}
