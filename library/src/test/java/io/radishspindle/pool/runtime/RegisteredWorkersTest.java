package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.model.PoolConfig;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.SharedStore.Item;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against an unreadable entry that counts as a worker because a readable one was there before, and against an
 * entry that goes back: the watch begins at the revision of the first page of a listing, later pages are newer.
 */
class RegisteredWorkersTest {
    private static final String POOL = "desk";
    private static final byte[] READABLE = {1};
    private static final byte[] UNREADABLE = {0};
    /** An entry with another address. */
    private static final byte[] LONGER = {1, 1};

    /** Decodes every entry that isn't empty and begins with 1. */
    private static final class Codec implements PlatformCodec {
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
            return value[0] == UNREADABLE[0]
                    ? Optional.empty()
                    : Optional.of(new WorkerEntry(
                            key.substring(workerPrefix().length()),
                            POOL,
                            "10.0.0.1",
                            80 + value.length,
                            "dc",
                            "r",
                            false,
                            -1,
                            1,
                            new Resources(1_000, 1, 0),
                            List.of()));
        }

        @Override
        public Optional<PoolConfig> config(byte[] value) {
            return Optional.empty();
        }
    }

    private final ControlView view = new ControlView(new ManualClock());
    private final RegisteredWorkers workers =
            new RegisteredWorkers(new Codec(), new PoolSlices(view), slice -> Optional.empty());

    @BeforeEach
    void decideSlices() {
        view.onChanged(new Item(StoreKeys.slices(POOL), Records.encode(new Records.Slices(1)), 1));
    }

    private static Item item(String id, byte[] value) {
        return item(id, value, 2);
    }

    private static Item item(String id, byte @Nullable [] value, long revision) {
        return new Item("workers/" + id, value, revision);
    }

    private List<Integer> ports() {
        return workers.of(POOL).stream().map(WorkerEntry::port).toList();
    }

    @Test
    void should_ignore_an_older_entry_from_the_watch() {
        // given
        workers.onListed(List.of(item("a", LONGER, 20)));

        // when
        workers.onChanged(item("a", READABLE, 15));

        // then
        assertThat(ports()).containsExactly(80 + LONGER.length);
    }

    @Test
    void should_ignore_an_older_removal_from_the_watch() {
        // given
        workers.onListed(List.of(item("a", LONGER, 20)));

        // when
        workers.onChanged(item("a", null, 15));

        // then
        assertThat(ports()).containsExactly(80 + LONGER.length);
    }

    @Test
    void should_ignore_an_older_entry_of_a_worker_that_was_removed() {
        // given
        workers.onListed(List.of(item("a", READABLE, 10)));
        workers.onChanged(item("a", null, 20));

        // when
        workers.onChanged(item("a", READABLE, 15));

        // then
        assertThat(ports()).isEmpty();
    }

    @Test
    void should_ignore_an_older_entry_in_a_listing() {
        // given
        workers.onListed(List.of(item("a", READABLE, 10)));
        workers.onChanged(item("a", LONGER, 20));

        // when
        workers.onListed(List.of(item("a", READABLE, 15)));

        // then
        assertThat(ports()).containsExactly(80 + LONGER.length);
    }

    @Test
    void should_take_the_entry_of_a_worker_that_registers_again() {
        // given
        workers.onListed(List.of(item("a", READABLE, 10)));
        workers.onChanged(item("a", null, 20));

        // when
        workers.onChanged(item("a", LONGER, 30));

        // then
        assertThat(ports()).containsExactly(80 + LONGER.length);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void should_remove_a_worker_whose_entry_was_replaced_by_an_unreadable_one(boolean listed) {
        // given
        workers.onListed(List.of(item("a", READABLE), item("b", READABLE)));
        assertThat(workers.of(POOL)).hasSize(2);

        // when
        if (listed) {
            workers.onListed(List.of(item("a", UNREADABLE), item("b", READABLE)));
        } else {
            workers.onChanged(item("a", UNREADABLE));
        }

        // then
        assertThat(workers.of(POOL)).extracting(WorkerEntry::id).containsExactly("b");

        // when the worker writes its entry again
        workers.onChanged(item("a", READABLE));

        // then
        assertThat(workers.of(POOL)).hasSize(2);
    }
}
