package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.SharedStore.Item;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against owners with too many workers, and against VMs that map the same job to different slices. */
class PoolSlicesTest {
    private static final String POOL = "desk";
    private static final int RACK_SIZE = 8;

    private final ControlView view = new ControlView(new ManualClock());
    private final PoolSlices slices = new PoolSlices(view);

    private void setCount(int count) {
        view.onChanged(new Item(StoreKeys.slices(POOL), Records.encode(new Records.Slices(count)), 1));
    }

    private static WorkerEntry worker(int number, String rack) {
        return new WorkerEntry("w" + number, POOL, "10.0.0.1", 80, "dc", rack, false, -1, 1, Resources.NONE, List.of());
    }

    private static List<WorkerEntry> workers(int count) {
        List<WorkerEntry> workers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            workers.add(worker(i, "rack-" + i / RACK_SIZE));
        }
        return workers;
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "10, 1", "174, 1", "430, 1", "720, 2", "2157, 7", "10000, 33"})
    void should_divide_a_pool_by_its_workers(int workers, int expected) {
        assertThat(PoolSlices.countFor(workers)).isEqualTo(expected);
    }

    @Test
    void should_keep_the_name_of_a_pool_with_one_slice() {
        setCount(1);

        assertThat(slices.of(POOL)).containsExactly(POOL);
        assertThat(slices.ofJob(POOL, "a1")).contains(POOL);
        assertThat(slices.ofWorker(worker(1, "r"))).contains(POOL);
    }

    @Test
    void should_return_nothing_before_the_number_of_slices_is_known() {
        assertThat(slices.of(POOL)).isEmpty();
        assertThat(slices.ofJob(POOL, "a1")).isEmpty();
        assertThat(slices.ofWorker(worker(1, "r"))).isEmpty();
    }

    /** Thousands of workers in racks, as in a deployment with 300 VMs and in larger ones. */
    @ParameterizedTest
    @ValueSource(ints = {720, 2157, 10_000})
    void should_keep_each_owner_below_twice_its_share_of_workers(int workers) {
        // given
        int count = PoolSlices.countFor(workers);
        setCount(count);
        Map<String, Integer> bySlice = new HashMap<>();

        // when
        workers(workers).forEach(worker -> bySlice.merge(slices.ofWorker(worker).orElseThrow(), 1, Integer::sum));

        // then
        assertThat(bySlice.keySet()).containsExactlyInAnyOrderElementsOf(slices.of(POOL));
        assertThat(bySlice.values()).allMatch(size -> size < 2 * workers / count);
    }

    @Test
    void should_spread_jobs_over_all_slices() {
        // given
        setCount(7);
        Random random = new Random(5);
        Map<String, Integer> bySlice = new HashMap<>();

        // when
        for (int i = 0; i < 7_000; i++) {
            String id = String.format("%016x", random.nextLong());
            bySlice.merge(slices.ofJob(POOL, id).orElseThrow(), 1, Integer::sum);
        }

        // then
        assertThat(bySlice).hasSize(7);
        assertThat(bySlice.values()).allMatch(size -> size > 800 && size < 1_200);
    }

    @Test
    void should_keep_a_rack_in_one_slice() {
        setCount(7);

        assertThat(workers(400).stream()
                        .map(worker ->
                                worker.rack() + " " + slices.ofWorker(worker).orElseThrow())
                        .distinct())
                .hasSize(400 / RACK_SIZE);
    }

    @Test
    void should_spread_workers_without_a_rack() {
        // given
        setCount(3);

        // when
        List<String> names = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            names.add(slices.ofWorker(worker(i, "")).orElseThrow());
        }

        // then
        assertThat(names).containsAll(slices.of(POOL));
    }
}
