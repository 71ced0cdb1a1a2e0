package io.radishspindle.pool.core;

import static io.radishspindle.pool.core.ScriptedPool.BOOT_MS;
import static io.radishspindle.pool.core.ScriptedPool.run;
import static io.radishspindle.pool.core.ScriptedPool.running;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.WorkerReport;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a second run of a task while its run under an earlier owner still has a lease. */
class LeaseOfEarlierOwnerTest {
    /** Longest lease that a worker grants, in milliseconds. */
    private static final long MAX_LEASE_MS = 10_000;
    /** An owner counts a worker for 3.2 s after a hold and grants 5.5 s on a clock that may be 2% slow. */
    private static final long EARLIER_RUNS_MS = (long) ((3_200 + 5_500) / 0.98);

    private final ScriptedPool pool = new ScriptedPool("w0", "w1", "w2");

    /** Lets some milliseconds pass in which the first worker is silent; no task may start in them. */
    private void assertNoStartFor(long ms, long stepMs) {
        for (long endMs = pool.nowMs + ms; pool.nowMs < endMs; pool.nowMs += stepMs) {
            pool.scheduler.onHoldFailed("w0", pool.nowMs, pool.nowMs, false);
            pool.reportIdle("w1", "w2");
            assertThat(pool.starts()).as("at %d", pool.nowMs).isEmpty();
        }
    }

    /** The earlier owner granted the lease on the clock of an incarnation that had ended. */
    @Test
    void should_wait_for_the_longest_lease_of_an_inherited_run_on_a_restarted_worker() {
        // given
        pool.submitInheritedJob();
        pool.report("w0", new WorkerReport(BOOT_MS + 100, 100, running(run(1)), List.of()));

        // when, then
        assertNoStartFor(MAX_LEASE_MS, 500);
    }

    /** The workers of the majority may have accepted a hold of the earlier owner since the last scheduling pass. */
    @Test
    void should_reckon_the_wait_for_earlier_runs_from_the_acceptance_of_the_token_by_a_majority() {
        // given
        pool.submitInheritedJob();
        pool.scheduler.beginRecovery(pool.nowMs);
        assertThat(pool.starts()).isEmpty();

        // when a majority answers just before the next pass
        pool.nowMs += 49;

        // then
        assertNoStartFor(EARLIER_RUNS_MS, 1);
    }
}
