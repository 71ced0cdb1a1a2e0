package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.port.SharedStore.Item;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against regions whose VMs all read the store, or all wait for a reader that does not answer. */
class ConfigReadersTest {
    private final ManualClock clock = new ManualClock();
    private final ControlView view = new ControlView(clock);
    private final ConfigReaders readers =
            new ConfigReaders(clock, view, new NodeIdentity("vm-5", "1", "10.0.0.1", 80, "b", "region", 1));

    /** VMs 0 and 1 are the strongest, and are in the same data centre. */
    @BeforeEach
    void addRegion() {
        for (int i = 0; i < 6; i++) {
            Records.Member member = new Records.Member("10.0.0.1", 80, i < 2 ? "a" : "b", "region", "1", 6 - i, false);
            view.onChanged(new Item(StoreKeys.member("vm-" + i), Records.encode(member), 1));
        }
    }

    private void remove(int vm) {
        view.onChanged(new Item(StoreKeys.member("vm-" + vm), null, 2));
    }

    @Test
    void should_choose_the_strongest_vms_of_two_data_centres() {
        assertThat(readers.choose()).containsExactly("vm-0", "vm-2");
        assertThat(readers.isReader()).isFalse();
        assertThat(readers.rank()).isEqualTo(5);
    }

    @Test
    void should_choose_the_next_vms_until_those_answer_that_did_not() {
        // when
        readers.onNoAnswer("vm-0", 1_200, "no reply");
        readers.onNoAnswer("vm-2", 1_200, "no reply");

        // then
        assertThat(readers.choose()).containsExactly("vm-1", "vm-3");
        clock.nowMs += 60_000;
        assertThat(readers.choose()).containsExactly("vm-1", "vm-3");
        readers.onAnswer("vm-0");
        assertThat(readers.choose()).containsExactly("vm-0", "vm-3");
    }

    @ParameterizedTest
    @CsvSource({"1, 300", "1200, 2000"})
    void should_probe_a_vm_that_did_not_answer_ever_later(long elapsedMs, long firstMs) {
        for (long backOffMs = firstMs; backOffMs < 16_000; backOffMs *= 2) {
            readers.onNoAnswer("vm-4", elapsedMs, "no reply");
            clock.nowMs += backOffMs - 1;
            assertThat(readers.dueProbes()).doesNotContain("vm-4");
            clock.nowMs++;
            assertThat(readers.dueProbes()).contains("vm-4");
            assertThat(readers.dueProbes()).doesNotContain("vm-4");
        }
    }

    @Test
    void should_probe_a_reader_that_was_not_asked_lately() {
        readers.dueProbes();
        clock.nowMs += 1_000;
        readers.onAnswer("vm-0");
        clock.nowMs += 1_000;

        assertThat(readers.dueProbes()).containsExactly("vm-2");
    }

    @Test
    void should_read_the_store_in_a_small_region() {
        ConfigReaders other =
                new ConfigReaders(clock, view, new NodeIdentity("vm-9", "1", "10.0.0.1", 80, "c", "small", 1));

        assertThat(other.isLargeRegion()).isFalse();
        assertThat(other.isReader()).isTrue();
        assertThat(other.choose()).isEmpty();
    }

    /** After an outage in which entries lapsed, all VMs would read the store at once. */
    @Test
    void should_take_a_region_for_large_while_entries_have_lapsed() {
        // given
        List<String> chosen = readers.choose();

        // when
        for (int i = 0; i < 6; i++) {
            remove(i);
        }

        // then
        assertThat(readers.choose()).isEqualTo(chosen);
        clock.nowMs += 10_000;
        assertThat(readers.isLargeRegion()).isFalse();
    }
}
