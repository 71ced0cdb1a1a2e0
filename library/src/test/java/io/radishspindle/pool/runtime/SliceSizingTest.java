package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.PoolConfig;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.SharedStore.Item;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against VMs that disagree on the number of slices of a pool, and against a pool that never gets one. */
class SliceSizingTest {
    private static final String POOL = "desk";

    /** Codec for worker entries whose value is the name of their pool; an empty value is unreadable. */
    private static final class PoolNameCodec implements PlatformCodec {
        @Override
        public String workerPrefix() {
            return "workers/";
        }

        @Override
        public String configKey() {
            return "config";
        }

        @Override
        public Optional<WorkerEntry> worker(String key, byte[] value) {
            String pool = new String(value, StandardCharsets.UTF_8);
            return pool.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new WorkerEntry(
                            key, pool, "10.0.0.1", 80, "dc", "r", false, -1, 1, Resources.NONE, List.of()));
        }

        @Override
        public Optional<PoolConfig> config(byte[] value) {
            return Optional.empty();
        }
    }

    /** One VM with its own view. */
    private final class Vm {
        final ControlView view = new ControlView(clock);
        final SliceSizing sizing;

        Vm(String id) {
            NodeIdentity self = new NodeIdentity(id, "1", "10.0.0.1", 80, "dc", "r", 1);
            sizing = new SliceSizing(clock, store, new PoolNameCodec(), view, self);
            for (String vm : List.of("a", "b")) {
                Records.Member member = new Records.Member("10.0.0.1", 80, "dc", "r", "1", 1, false);
                view.onChanged(new Item(StoreKeys.member(vm), Records.encode(member), 1));
            }
        }

        void tickFor(long durationMs) {
            long untilMs = clock.nowMs + durationMs;
            while (clock.nowMs < untilMs) {
                sizing.tick(List.of(POOL));
                clock.nowMs += 50;
            }
        }
    }

    private final FakeSharedStore store = new FakeSharedStore();
    private final ManualClock clock = new ManualClock();

    @BeforeEach
    void addWorkers() {
        for (int i = 0; i < 900; i++) {
            put("workers/" + i, POOL);
        }
        put("workers/unreadable", "");
        put("workers/other-pool", "studio");
    }

    private void put(String key, String value) {
        store.items.put(key, new Item(key, value.getBytes(StandardCharsets.UTF_8), 3));
    }

    @Test
    void should_store_the_number_of_slices_for_the_registered_workers() {
        // given
        Vm first = new Vm("a");

        // when
        first.tickFor(1_000);

        // then
        assertThat(first.view.sliceCount(POOL)).contains(3);
        Item stored = store.items.get(StoreKeys.slices(POOL));
        assertThat(Records.decode(stored.key(), stored.value(), Records.Slices.class)
                        .get()
                        .count())
                .isEqualTo(3);
    }

    @Test
    void should_wait_for_the_first_vm_to_decide() {
        // given
        Vm second = new Vm("b");

        // when
        second.tickFor(1_000);

        // then
        assertThat(second.view.sliceCount(POOL)).isEmpty();
        second.tickFor(1_000);
        assertThat(second.view.sliceCount(POOL)).contains(3);
    }

    @Test
    void should_adopt_the_number_that_another_vm_has_stored() {
        // given
        Vm first = new Vm("a");
        first.tickFor(1_000);
        Vm second = new Vm("b");

        // when
        for (int i = 0; i < 3_000; i++) {
            put("workers/late-" + i, POOL);
        }
        second.tickFor(4_000);

        // then
        assertThat(second.view.sliceCount(POOL)).contains(3);
    }

    @ParameterizedTest
    @EnumSource(FakeSharedStore.Fault.class)
    void should_decide_once_despite_failed_calls(FakeSharedStore.Fault fault) {
        // given
        Vm first = new Vm("a");
        store.firstFaults.add(fault);
        store.firstFaults.add(FakeSharedStore.Fault.NONE);
        store.firstFaults.add(fault);

        // when
        first.tickFor(2_500);

        // then
        assertThat(first.view.sliceCount(POOL)).contains(3);
        store.lostCalls.forEach(Runnable::run);
        assertThat(store.items.get(StoreKeys.slices(POOL)).revision()).isPositive();
    }

    @Test
    void should_make_no_calls_once_the_number_is_known() {
        // given
        Vm first = new Vm("a");
        first.tickFor(1_000);
        int calls = store.calls;

        // when
        first.tickFor(2_000);

        // then
        assertThat(store.calls).isEqualTo(calls);
    }

    /** When a deployment is first started, the workers register in the seconds after the VMs have started. */
    @Test
    void should_wait_until_the_number_of_workers_is_stable() {
        // given
        store.items.clear();
        Vm first = new Vm("a");

        // when
        for (int i = 0; i < 900; i++) {
            put("workers/" + i, POOL);
            if (i % 90 == 0) {
                first.tickFor(100);
            }
        }

        // then
        assertThat(first.view.sliceCount(POOL)).isEmpty();
        first.tickFor(1_700);
        assertThat(first.view.sliceCount(POOL)).contains(3);
    }

    @Test
    void should_decide_on_one_slice_for_a_pool_that_has_no_workers_for_long() {
        // given
        store.items.clear();
        Vm first = new Vm("a");

        // when
        first.tickFor(10_000);

        // then
        assertThat(first.view.sliceCount(POOL)).isEmpty();
        first.tickFor(500);
        assertThat(first.view.sliceCount(POOL)).contains(1);
    }

    @Test
    void should_decide_at_once_when_jobs_arrive() {
        // given
        Vm second = new Vm("b");
        second.tickFor(50);

        // when
        second.sizing.expedite();
        second.tickFor(50);

        // then
        assertThat(second.view.sliceCount(POOL)).contains(3);
    }
}
