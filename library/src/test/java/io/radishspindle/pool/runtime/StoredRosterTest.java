package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.PoolOptions;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.radishspindle.pool.tenant.TenantLimits;
import io.radishspindle.pool.tenant.TenantWeights;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against workers that get runs although the next owner doesn't find them in the store. */
class StoredRosterTest {
    private static final String POOL = "desk";
    private static final long TOKEN = 3;

    private final FakeSharedStore store = new FakeSharedStore();
    private final ManualClock clock = new ManualClock();
    private final List<String> superseded = new ArrayList<>();
    private final StoredRoster roster = roster(TOKEN);
    private final PoolScheduler scheduler =
            new PoolScheduler(new PoolOptions(TenantLimits.NONE, new DeclaredRunTimes(), TenantWeights.NONE, roster));

    private StoredRoster roster(long token) {
        return new StoredRoster(clock, store, POOL, token, new StoredRoster.Listener() {
            @Override
            public void onRecorded() {}

            @Override
            public void onSuperseded(String reason) {
                superseded.add(reason);
            }
        });
    }

    @BeforeEach
    void claim() {
        putClaim(TOKEN);
    }

    private void putClaim(long revision) {
        store.items.put(StoreKeys.owner(POOL), new Item(StoreKeys.owner(POOL), new byte[] {1}, revision));
    }

    private static WorkerEntry entry(String id, int port) {
        return new WorkerEntry(
                id, POOL, "10.0.0.1", port, "dc", "r", false, -1, 1, new Resources(8_000, 1_000, 2), List.of("a"));
    }

    private void register(WorkerEntry entry) {
        scheduler.onWorkerRegistered(entry, clock.nowMs());
    }

    private void answer(String worker) {
        WorkerReport report = new WorkerReport(1, clock.nowMs(), List.of(), List.of());
        scheduler.onHoldReply(
                worker, scheduler.holdOrder(worker, clock.nowMs(), 1), report, clock.nowMs(), clock.nowMs());
    }

    private List<WorkerEntry> loadedByNextOwner() {
        StoredRoster next = roster(TOKEN + 1);
        return next.load(store.list(StoreKeys.workers(POOL)).await().get().items(), true);
    }

    private void updateLater() {
        clock.nowMs += 1_000;
        roster.update(scheduler);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 15, 16, 40})
    void should_record_the_workers_that_have_answered(int count) {
        // given
        roster.load(List.of(), false);
        for (int i = 0; i < count; i++) {
            register(entry("w" + i, 100 + i));
            answer("w" + i);
        }
        register(entry("silent", 99));

        // when
        for (int i = 0; i <= count / 15; i++) {
            roster.update(scheduler);
        }

        // then
        assertThat(loadedByNextOwner()).hasSize(count).contains(entry("w0", 100));
        assertThat(roster.contains("w0")).isTrue();
        assertThat(roster.contains("silent")).isFalse();
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"REJECT", "LOSE_ANSWER", "LOSE_CALL"})
    void should_start_nothing_on_a_worker_until_its_record_is_known_to_be_durable(Fault fault) {
        // given
        roster.load(List.of(), false);
        register(entry("w", 100));
        answer("w");

        // when
        store.firstFaults.add(fault);
        roster.update(scheduler);

        // then
        assertThat(roster.mayStartOn(entry("w", 100))).isFalse();
        assertThat(roster.isBeingAdded("w")).isTrue();

        // when the write is repeated, and the lost one is carried out late
        answer("w");
        updateLater();
        answer("w");
        updateLater();
        store.lostCalls.forEach(Runnable::run);

        // then
        assertThat(roster.mayStartOn(entry("w", 100))).isTrue();
        assertThat(loadedByNextOwner()).containsExactly(entry("w", 100));
        assertThat(superseded).isEmpty();
    }

    @Test
    void should_keep_a_record_that_a_late_removal_would_remove() {
        // given a worker that is silent for long, so that its removal is tried
        roster.load(List.of(), false);
        register(entry("w", 100));
        answer("w");
        roster.update(scheduler);
        clock.nowMs += 20_000;
        scheduler.onHoldFailed("w", clock.nowMs(), clock.nowMs(), false);
        store.firstFaults.add(Fault.LOSE_CALL);
        roster.update(scheduler);
        assertThat(roster.mayStartOn(entry("w", 100))).isFalse();

        // when it answers again before the removal is carried out
        clock.nowMs += 1_000;
        answer("w");
        roster.update(scheduler);
        store.lostCalls.forEach(Runnable::run);

        // then
        assertThat(roster.mayStartOn(entry("w", 100))).isTrue();
        assertThat(loadedByNextOwner()).hasSize(1);
    }

    @Test
    void should_remove_a_worker_that_is_gone() {
        // given
        roster.load(List.of(), false);
        register(entry("w", 100));
        answer("w");
        roster.update(scheduler);

        // when
        clock.nowMs += 20_000;
        scheduler.onHoldFailed("w", clock.nowMs(), clock.nowMs(), true);
        roster.update(scheduler);

        // then
        assertThat(roster.contains("w")).isFalse();
        assertThat(loadedByNextOwner()).isEmpty();
    }

    @Test
    void should_start_nothing_at_a_new_address_before_the_worker_has_answered_there() {
        // given
        roster.load(List.of(), false);
        register(entry("w", 100));
        answer("w");
        roster.update(scheduler);

        // when another writer puts another address into the worker's entry
        register(entry("w", 666));
        updateLater();

        // then
        assertThat(roster.mayStartOn(entry("w", 666))).isFalse();
        assertThat(loadedByNextOwner()).containsExactly(entry("w", 100));
    }

    /** A record with the smaller capacity of an earlier incarnation would hide runs from the quotas at a takeover. */
    @Test
    void should_record_a_new_incarnation_before_anything_is_started_on_it() {
        // given
        roster.load(List.of(), false);
        register(entry("w", 100));
        answer("w");
        roster.update(scheduler);
        Resources larger = new Resources(16_000, 1_000, 2);
        WorkerEntry restarted =
                new WorkerEntry("w", POOL, "10.0.0.1", 100, "dc", "r", false, -1, 2, larger, List.of("b"));

        // when
        register(restarted);

        // then
        assertThat(roster.mayStartOn(restarted)).isFalse();

        // when
        answer("w");
        updateLater();

        // then
        assertThat(roster.mayStartOn(restarted)).isTrue();
        assertThat(loadedByNextOwner()).containsExactly(restarted);
    }

    @Test
    void should_write_nothing_once_another_owner_has_the_claim() {
        // given
        roster.load(List.of(), false);
        register(entry("w", 100));
        answer("w");
        putClaim(TOKEN + 1);

        // when
        roster.update(scheduler);

        // then
        assertThat(superseded).hasSize(1);
        assertThat(loadedByNextOwner()).isEmpty();
    }

    @Test
    void should_not_be_complete_after_an_owner_that_recorded_nothing() {
        roster.load(List.of(), true);
        assertThat(roster.isComplete()).isFalse();

        StoredRoster first = roster(TOKEN);
        first.load(List.of(), false);
        assertThat(first.isComplete()).isTrue();
    }

    @Test
    void should_not_be_complete_with_an_unreadable_record() {
        // given
        roster.load(List.of(), false);
        register(entry("w", 100));
        answer("w");
        roster.update(scheduler);
        String key = StoreKeys.workers(POOL) + "x";
        store.items.put(key, new Item(key, new byte[] {1}, 4));

        // when
        StoredRoster next = roster(TOKEN);
        List<WorkerEntry> loaded =
                next.load(store.list(StoreKeys.workers(POOL)).await().get().items(), true);

        // then
        assertThat(loaded).hasSize(1);
        assertThat(next.isComplete()).isFalse();
    }
}
