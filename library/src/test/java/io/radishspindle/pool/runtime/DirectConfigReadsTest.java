package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.vavr.control.Either;
import java.util.List;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against transfers of versions that a VM has or no longer needs, and against knowledge that is too young. */
class DirectConfigReadsTest {
    private static final String KEY = "op/config";
    private static final int BYTES = 1_000_000;

    private final SimulatedTime time = new SimulatedTime();
    private final SharedLink link = new SharedLink(time, 42);
    private final SimulatedConfigStore store = new SimulatedConfigStore(time, link, KEY);
    private final ConfigKnowledge knowledge = new ConfigKnowledge();
    private final DirectConfigReads reads = new DirectConfigReads(
            time,
            store.client(true, () -> true),
            knowledge,
            new ConfigReadPacer(time, RandomSource.XO_RO_SHI_RO_128_PP.create(1)));

    @BeforeEach
    void readOnce() {
        store.put(new byte[BYTES]);
        refresh();
        refresh();
    }

    private Either<Failure, Listing> refresh() {
        var read = reads.refresh(KEY);
        time.runUntil(time.nowMs() + 2_000);
        return read.result();
    }

    private Either<Failure, Listing> watch() {
        var read = reads.watch(KEY, true);
        time.runUntil(time.nowMs() + 2_000);
        return read.result();
    }

    private double copies() {
        return link.carriedBytes() / (BYTES * 4.0 / 3);
    }

    @Test
    void should_transfer_nothing_when_an_unchanged_configuration_is_read_again() {
        double before = copies();

        assertThat(refresh().get().items()).isEmpty();

        assertThat(copies() - before).isLessThan(0.01);
    }

    @Test
    void should_transfer_only_the_newest_of_several_versions() {
        // given
        for (int i = 0; i < 5; i++) {
            store.put(new byte[BYTES]);
        }
        long newest = store.put(new byte[BYTES]);
        double before = copies();

        // when
        Either<Failure, Listing> read = refresh();

        // then
        assertThat(read.get().items()).extracting(Item::revision).containsExactly(newest);
        assertThat(copies() - before).isBetween(0.99, 1.01);
    }

    @Test
    void should_find_the_next_change_after_an_unchanged_read() {
        refresh();
        long revision = store.put(new byte[BYTES]);

        assertThat(watch().get().items()).extracting(Item::revision).containsExactly(revision);
    }

    /** A revision of long ago is in no history, and a watch from there would fail without end. */
    @Test
    void should_list_after_the_store_has_lost_the_history() {
        // given
        for (int i = 0; i < 70; i++) {
            store.put(new byte[1]);
        }

        // when
        Either<Failure, Listing> lost = watch();
        Either<Failure, Listing> next = watch();

        // then
        assertThat(lost.isLeft()).isTrue();
        assertThat(next.get().items()).hasSize(1);
        assertThat(watch().isRight()).isTrue();
    }

    @Test
    void should_know_an_unchanged_configuration_as_of_the_end_of_a_full_wait() {
        long sentAtMs = time.nowMs();

        watch();

        assertThat(knowledge.knownAtMs()).isEqualTo(sentAtMs + 500);
    }

    /** When the store replied isn't known: its reply to a watch may have been on the link for most of the time. */
    @Test
    void should_know_a_change_as_of_the_sending_of_its_watch() {
        // given
        long sentAtMs = time.nowMs();
        time.after(400, () -> store.put(new byte[BYTES]));

        // when
        watch();

        // then
        assertThat(knowledge.knownAtMs()).isEqualTo(sentAtMs);
    }

    @Test
    void should_list_if_the_store_rejects_reads_by_condition() {
        // given
        FakeSharedStore strict = new FakeSharedStore();
        strict.items.put(KEY, new Item(KEY, new byte[] {1}, 700));
        strict.rejectsTransactions = true;
        DirectConfigReads rejected = new DirectConfigReads(
                time, strict, knowledge, new ConfigReadPacer(time, RandomSource.XO_RO_SHI_RO_128_PP.create(1)));

        // when
        Either<Failure, Listing> read = rejected.refresh(KEY).result();

        // then
        assertThat(read.get().items()).isEqualTo(List.copyOf(strict.items.values()));
    }
}
