package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.PoolOptions;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.model.PoolConfig;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.Tenant;
import io.radishspindle.pool.model.TenantDirectory;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.model.WorkerReport;
import io.radishspindle.pool.port.PrefixReader;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import io.radishspindle.pool.tenant.QuotaShares;
import io.radishspindle.pool.tenant.QuotaShares.Entry;
import io.radishspindle.pool.tenant.Share;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against owners that use a share of a quota which the store has given to another one. Load: one tenant with a
 * maximum of 100 cores and jobs of up to 100 cores in two slices.
 */
class QuotaKeeperTest {
    private static final Resources QUOTA = new Resources(100_000, 0, 0);
    private static final List<String> SLICES = List.of("desk", "studio");
    /** Has room for all jobs, as work without room has no share. */
    private static final WorkerEntry WORKER = new WorkerEntry(
            "w", "p", "10.0.0.1", 80, "dc", "r", false, -1, 1, new Resources(400_000, 1_000_000, 0), List.of());

    /** One VM that owns one slice; its watch answers only when the test lets it. */
    private final class Vm implements PrefixReader, SliceQuota.Listener {
        final List<Promise<Either<Failure, Listing>>> watches = new ArrayList<>();
        final List<String> superseded = new ArrayList<>();
        final QuotaKeeper keeper =
                new QuotaKeeper(vertx, clock, store, this, () -> Optional.of(config), () -> SLICES, answered -> {});
        final SliceQuota quota;
        final PoolScheduler scheduler;
        final List<Integer> coresAtChanges = new ArrayList<>();
        int changes;

        Vm(String slice, long claim) {
            store.items.put(StoreKeys.owner(slice), new Item(StoreKeys.owner(slice), new byte[] {1}, claim));
            quota = keeper.open(slice, claim, this);
            scheduler = new PoolScheduler(new PoolOptions(quota.limits(), new DeclaredRunTimes()));
            scheduler.onWorkerRegistered(WORKER, clock.nowMs);
        }

        void need(int cores) {
            StepSpec step = new StepSpec(
                    1,
                    new Resources(cores * 1_000L, 1, 0),
                    1,
                    List.of(),
                    false,
                    false,
                    false,
                    "",
                    "",
                    0,
                    false,
                    false,
                    "",
                    0,
                    false,
                    0);
            scheduler.submit(
                    new PoolJob("j" + cores, "q", "p", "", List.of(step), 1, 0, 0, 1, 0, 1, 1, 1, null, "t", "h/q/"));
        }

        void run(long durationMs) {
            long untilMs = clock.nowMs + durationMs;
            while (clock.nowMs < untilMs) {
                WorkerReport idle = new WorkerReport(1, clock.nowMs, List.of(), List.of());
                scheduler.onHoldReply(
                        WORKER.id(), scheduler.holdOrder(WORKER.id(), clock.nowMs, 1), idle, clock.nowMs, clock.nowMs);
                quota.update(scheduler);
                clock.nowMs += 50;
            }
        }

        /** Delivers the current item, or its removal, to the watch. */
        void watchAnswers() {
            Item removed = new Item(StoreKeys.QUOTA_SHARES, null, 99);
            Item item = store.items.getOrDefault(StoreKeys.QUOTA_SHARES, removed);
            Listing current = new Listing(List.of(item), 99);
            List<Promise<Either<Failure, Listing>>> waiting = List.copyOf(watches);
            watches.clear();
            waiting.forEach(watch -> watch.complete(Either.right(current)));
        }

        int cores() {
            int cores = 0;
            while (quota.limits().allows("t", new Resources((cores + 1) * 1_000L, 0, 0))) {
                cores++;
            }
            return cores;
        }

        @Override
        public Future<Either<Failure, Listing>> list(String prefix) {
            return Future.succeededFuture(Either.right(new Listing(List.copyOf(shares().values()), 1)));
        }

        @Override
        public Future<Either<Failure, Listing>> watch(String prefix, long afterRevision, long waitMs) {
            Promise<Either<Failure, Listing>> answer = Promise.promise();
            watches.add(answer);
            return answer.future();
        }

        @Override
        public void onSharesChanged() {
            changes++;
            coresAtChanges.add(cores());
        }

        @Override
        public void onSuperseded(String reason) {
            superseded.add(reason);
        }
    }

    private final FakeSharedStore store = new FakeSharedStore();
    private final ManualClock clock = new ManualClock();
    private PoolConfig config = configOf(QUOTA);
    private Vertx vertx;

    @BeforeEach
    void createVertx() {
        vertx = Vertx.vertx();
    }

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private static PoolConfig configOf(Resources quota) {
        return new PoolConfig(
                1, List.of(), List.of(), 1, TenantDirectory.of(Map.of(new Tenant("t", 1, quota), List.of("key"))));
    }

    private Map<String, Item> shares() {
        Map<String, Item> found = new HashMap<>(store.items);
        found.keySet().retainAll(List.of(StoreKeys.QUOTA_SHARES));
        return found;
    }

    private QuotaShares storedShares() {
        Item item = store.items.get(StoreKeys.QUOTA_SHARES);
        return Records.decode(item.key(), item.value(), QuotaShares.class).get();
    }

    @Test
    void should_take_an_equal_part_and_pass_on_what_another_slice_needs_through_its_watch() {
        // given
        Vm desk = new Vm("desk", 3);
        Vm studio = new Vm("studio", 4);
        desk.need(20);
        desk.run(300);
        assertThat(desk.cores()).isEqualTo(50);

        // when
        studio.need(80);
        studio.run(300);
        desk.watchAnswers();
        desk.run(300);
        studio.watchAnswers();
        studio.run(300);

        // then
        assertThat(desk.cores()).isEqualTo(20);
        assertThat(studio.cores()).isEqualTo(80);
        assertThat(studio.changes).isGreaterThan(1);
    }

    /** Guards against a ceiling of the plan before the write that forbids the starts the write was made for. */
    @Test
    void should_allow_starts_in_the_pass_after_the_write_of_a_first_share() {
        // given: a plan without a share or a demand
        Vm desk = new Vm("desk", 3);
        desk.run(300);

        // when
        desk.need(20);
        desk.run(300);

        // then
        assertThat(desk.coresAtChanges).last().isEqualTo(50);
    }

    @Test
    void should_apply_a_changed_quota_without_a_call() {
        // given
        Vm desk = new Vm("desk", 3);
        desk.need(50);
        desk.run(300);
        int calls = store.calls;

        // when
        config = configOf(new Resources(10_000, 0, 0));

        // then
        assertThat(desk.cores()).isEqualTo(7);
        assertThat(store.calls).isEqualTo(calls);
    }

    @Test
    void should_keep_the_lower_limit_until_a_write_without_an_answer_is_overtaken() {
        // given: the desk holds all and is asked to give back 80 cores
        Vm desk = new Vm("desk", 3);
        Vm studio = new Vm("studio", 4);
        desk.need(100);
        desk.run(300);
        desk.scheduler.cancel("j100", 1);
        studio.need(80);
        studio.run(300);
        desk.need(20);

        // when
        store.firstFaults.add(Fault.LOSE_CALL);
        desk.watchAnswers();
        desk.run(50);
        assertThat(desk.cores()).isEqualTo(20);
        assertThat(storedShares().share("t", "desk")).isEqualTo(new Share(Share.WHOLE, 0, 0));
        desk.need(90);
        desk.run(50);

        // then
        assertThat(desk.cores()).isEqualTo(20);
        desk.run(500);
        int settled = desk.cores();
        Item before = store.items.get(StoreKeys.QUOTA_SHARES);
        store.lostCalls.forEach(Runnable::run);
        assertThat(store.items.get(StoreKeys.QUOTA_SHARES)).isSameAs(before);
        assertThat(settled).isEqualTo(storedShares().share("t", "desk").processor() / 10_000);
    }

    @ParameterizedTest
    @EnumSource(
            value = Fault.class,
            names = {"REJECT", "LOSE_CALL", "LOSE_ANSWER"})
    void should_keep_the_shares_while_the_store_is_unavailable(Fault fault) {
        // given
        Vm desk = new Vm("desk", 3);
        desk.need(20);
        desk.run(300);

        // when
        store.fault = fault;
        desk.need(70);
        desk.run(2_000);

        // then
        assertThat(desk.cores()).isEqualTo(50);
        store.fault = Fault.NONE;
        desk.run(1_000);
        assertThat(desk.cores()).isEqualTo(100);
    }

    @Test
    void should_write_nothing_after_another_vm_has_claimed_the_slice() {
        // given
        Vm desk = new Vm("desk", 3);
        desk.run(100);
        store.items.put(StoreKeys.owner("desk"), new Item(StoreKeys.owner("desk"), new byte[] {2}, 8));

        // when
        desk.need(20);
        desk.run(300);

        // then
        assertThat(desk.superseded).isNotEmpty();
        assertThat(shares()).isEmpty();
        assertThat(desk.cores()).isZero();
    }

    @Test
    void should_give_the_share_of_a_slice_to_its_next_owner() {
        // given
        Vm desk = new Vm("desk", 3);
        desk.need(60);
        desk.run(300);
        desk.quota.close();

        // when
        Vm next = new Vm("desk", 7);
        assertThat(next.cores()).isZero();
        next.run(50);

        // then
        assertThat(next.cores()).isEqualTo(90);
    }

    @Test
    void should_start_nothing_and_write_nothing_while_the_item_is_unreadable() {
        // given
        store.items.put(StoreKeys.QUOTA_SHARES, new Item(StoreKeys.QUOTA_SHARES, new byte[] {1, 2, 3}, 9));
        Vm desk = new Vm("desk", 3);

        // when
        desk.need(20);
        desk.run(1_000);

        // then
        assertThat(desk.cores()).isZero();
        assertThat(store.items.get(StoreKeys.QUOTA_SHARES).revision()).isEqualTo(9);
        store.items.remove(StoreKeys.QUOTA_SHARES);
        desk.watchAnswers();
        desk.run(500);
        assertThat(desk.cores()).isEqualTo(50);
    }

    @Test
    void should_make_no_call_in_a_deployment_without_tenants() {
        // given
        config = new PoolConfig(1, List.of(), List.of(), 1, TenantDirectory.NONE);
        Vm desk = new Vm("desk", 3);

        // when
        desk.run(1_000);

        // then
        assertThat(store.calls).isZero();
        assertThat(desk.watches).isEmpty();
    }

    /** Guards against jobs that wait for ever after all tenants have left the configuration. */
    @Test
    void should_use_the_stored_quota_of_a_tenant_in_a_configuration_without_tenants() {
        // given
        QuotaShares stored = new QuotaShares(1, Map.of("t", QUOTA), Map.of());
        store.items.put(StoreKeys.QUOTA_SHARES, new Item(StoreKeys.QUOTA_SHARES, Records.encode(stored), 9));
        config = new PoolConfig(1, List.of(), List.of(), 1, TenantDirectory.NONE);
        Vm desk = new Vm("desk", 3);

        // when
        desk.need(20);
        desk.run(500);

        // then
        assertThat(desk.cores()).isEqualTo(50);
    }

    @Test
    void should_keep_the_item_of_twenty_tenants_and_two_slices_small() {
        // given
        Map<String, Resources> quotas = new HashMap<>();
        Map<String, Map<String, Entry>> entries = new HashMap<>();
        for (int i = 0; i < 20; i++) {
            quotas.put("tenant-" + i, new Resources(1_000_000, 2_000_000, 100));
            Entry entry = new Entry(new Share(400_000, 400_000, 400_000), Share.NONE, Share.NONE, 1_000);
            entries.put("tenant-" + i, Map.of("desk", entry, "studio", entry));
        }
        QuotaShares shares = new QuotaShares(100_000, quotas, entries);

        // when
        byte[] encoded = Records.encode(shares);

        // then
        assertThat(encoded.length).isLessThan(4_096);
        assertThat(Records.decode("key", encoded, QuotaShares.class).get()).isEqualTo(shares);
    }
}
