package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.ProgressLedger.Batch;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an end that is acknowledged, and so dropped by its worker, before its effect is durable. */
class ProgressLedgerTest {
    private static final Set<String> NONE = Set.of();

    private final PoolSimulation pool = new PoolSimulation(1);
    private ProgressLedger ledger = pool.scheduler.progress();

    @BeforeEach
    void finishTwoJobs() {
        pool.storeUnavailable = true;
        pool.addWorker("w", new Resources(16_000, 32_000, 0), "r");
        pool.submit(SimJobs.job("a", 0, pool.nowMs, SimJobs.step(1, 1_000, 0, 100)));
        pool.submit(SimJobs.job("b", 0, pool.nowMs, SimJobs.step(1, 1_000, 0, 100)));
        pool.runUntil(pool.nowMs + 2_000);
        ledger = pool.scheduler.progress();
        assertThat(ledger.hasUnacknowledged()).isTrue();
    }

    @Test
    void should_acknowledge_only_when_all_earlier_batches_are_durable() {
        // given two batches in flight, the second one with the last ends
        Batch first = ledger.take(1, NONE);
        Batch second = ledger.take(1, first.progress().keySet());

        // when
        ledger.onWritten(second);

        // then
        assertThat(ledger.hasUnacknowledged()).isTrue();
        ledger.onWritten(first);
        assertThat(ledger.hasUnacknowledged()).isFalse();
    }

    @Test
    void should_not_acknowledge_ends_whose_batch_failed() {
        // given
        Batch first = ledger.take(1, NONE);
        Batch second = ledger.take(1, first.progress().keySet());

        // when
        ledger.onWriteFailed(first);
        ledger.onWritten(second);

        // then
        assertThat(ledger.hasUnacknowledged()).isTrue();
        assertThat(ledger.hasDirty(NONE)).isTrue();
        ledger.onWritten(ledger.take(1, NONE));
        assertThat(ledger.hasUnacknowledged()).isFalse();
    }

    @Test
    void should_leave_out_jobs_that_are_in_flight() {
        // given
        Batch first = ledger.take(1, NONE);

        // when
        Batch second = ledger.take(2, first.progress().keySet());

        // then
        assertThat(second.progress())
                .hasSize(1)
                .doesNotContainKeys(
                        "a".equals(first.progress().keySet().iterator().next()) ? "a" : "b");
    }
}
