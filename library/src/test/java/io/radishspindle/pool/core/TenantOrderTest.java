package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.Run;
import io.radishspindle.pool.model.TaskName;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.pool.tenant.TenantLimits;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against entries without a worker that change which tenant holds more than its part of the pool. */
class TenantOrderTest {
    private static WorkerState worker(String id, Resources capacity) {
        WorkerEntry entry =
                new WorkerEntry(id, "pool", "10.0.0.1", 80, "dc", "r", false, -1, 1, capacity, List.of("a"));
        return new WorkerState(entry, TenantLimits.NONE, WorkerRoster.ALL, new ActiveRuns(), 10_000);
    }

    private static void occupy(WorkerState worker, String tenant, Resources amount) {
        RunState run = new RunState(new Run(new TaskName(tenant, 0, 0, 0), 1), worker, amount, null, tenant, 1_000);
        run.charged = amount;
        worker.occupy(run);
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 1_000})
    void should_take_shares_of_the_workers_that_have_answered(int silent) {
        // given a tenant with most of the cores, and one with few accelerators
        TenantOrder order = new TenantOrder(tenant -> 1.0);
        WorkerState worker = worker("w", new Resources(10_000, 10_000, 10));
        worker.entryAtLastAnswer = worker.entry;
        occupy(worker, "cores", new Resources(8_000, 0, 0));
        occupy(worker, "accelerators", new Resources(1_000, 0, 1));
        List<WorkerState> workers = new ArrayList<>(List.of(worker));
        for (int i = 0; i < silent; i++) {
            workers.add(worker("x" + i, new Resources(1_000_000_000, 1, 0)));
        }
        JobState waiting = new JobState(
                SimJobs.ofTenant("cores", SimJobs.job("j", 0, 1_000, SimJobs.step(1, 1_000, 0, 100))),
                false,
                new DurationStats(new DeclaredRunTimes(), new ArrayList<>()));

        // when
        order.onPass(true);

        // then
        assertThat(order.behind(List.of(waiting.steps.get(0)), workers)).containsExactly("cores");
    }
}
