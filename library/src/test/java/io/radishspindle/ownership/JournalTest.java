package io.radishspindle.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against accepted jobs that are lost, and refused jobs that run, at a change of owner. */
class JournalTest {
    private final MemoryStore store = new MemoryStore();
    private final MetricRegistry metrics = new MetricRegistry();
    private final Effects fx = new Effects("vm", 1, new OwnershipMetrics(metrics));
    private final List<Journal.Outcome> outcomes = new ArrayList<>();
    private boolean fenced;
    private long now;

    @Test
    void should_recover_what_was_acknowledged() {
        // given
        Journal first = open(1);
        first.append(JournalEntry.accepted(job("a", 2)), outcomes::add);
        first.append(JournalEntry.completed("a", 1), outcomes::add);
        pass(first, 300);

        // when
        Journal second = open(2);

        // then
        assertThat(outcomes).containsExactly(Journal.Outcome.DURABLE, Journal.Outcome.DURABLE);
        assertThat(second.jobs().find("a").orElseThrow().completed.stream().boxed())
                .containsExactly(1);
    }

    @Test
    void should_fence_an_owner_that_writes_late() {
        // given
        Journal late = open(1);
        open(2);

        // when
        late.append(JournalEntry.accepted(job("a", 1)), outcomes::add);
        pass(late, 300);

        // then
        assertThat(outcomes).containsExactly(Journal.Outcome.NOT_WRITTEN);
        assertThat(fenced).isTrue();
        assertThat(open(3).jobs().find("a")).isEmpty();
    }

    /** A fence of the newest segment alone lets this write through, and the accepted job is lost. */
    @Test
    void should_fence_the_opening_of_the_next_segment() {
        // given
        Journal late = open(1);
        fill(late);
        store.holdsWrites = true;
        late.append(JournalEntry.accepted(job("last", 1)), outcomes::add);
        pass(late, 300);
        store.holdsWrites = false;

        // when
        Journal next = open(2);
        int applied = store.applyHeld();

        // then
        assertThat(applied).isZero();
        assertThat(next.jobs().find("last")).isEmpty();
    }

    @Test
    void should_find_out_that_a_write_with_a_lost_answer_was_applied() {
        // given
        Journal journal = open(1);
        store.losesAnswers = 1;

        // when
        journal.append(JournalEntry.accepted(job("a", 1)), outcomes::add);
        pass(journal, 1_000);

        // then
        assertThat(outcomes).containsExactly(Journal.Outcome.DURABLE);
    }

    /** The new owner has read the entry and rewritten the segment; "not run" would be wrong. */
    @Test
    void should_not_claim_to_know_after_a_lost_answer_and_a_takeover() {
        // given
        Journal old = open(1);
        store.losesAnswers = 1;
        old.append(JournalEntry.accepted(job("a", 1)), outcomes::add);
        pass(old, 50);

        // when
        Journal next = open(2);
        pass(old, 1_000);

        // then
        assertThat(next.jobs().find("a")).isPresent();
        assertThat(outcomes).containsExactly(Journal.Outcome.UNKNOWN);
    }

    @Test
    void should_keep_everything_when_the_ring_wraps_and_owners_change() {
        // given
        long epoch = 1;
        Journal journal = open(epoch);

        // when
        for (int i = 0; i < 3_000; i++) {
            journal.append(JournalEntry.accepted(job("j" + i, 1)), outcomes::add);
            journal.append(JournalEntry.ended("j" + i, "SUCCEEDED", ""), outcomes::add);
            if (i < 2_900) {
                pass(journal, 50);
            }
            if (i % 100 == 0) {
                pass(journal, 300);
                epoch++;
                journal = open(epoch);
            }
        }
        pass(journal, 300);

        // then
        assertThat(outcomes).hasSize(6_000).containsOnly(Journal.Outcome.DURABLE);
        assertThat(open(epoch + 1).jobs().find("j2999")).isPresent();
    }

    /** The store takes several hundred writes a second; 42 groups share 960 task ends a second. */
    @Test
    void should_write_less_than_five_times_a_second_for_task_ends_alone() {
        // given
        Journal journal = open(1);
        journal.append(JournalEntry.accepted(job("a", 100_000)), outcomes::add);
        pass(journal, 300);
        int before = store.writes;

        // when
        for (int i = 0; i < 23 * 60; i++) {
            journal.append(JournalEntry.completed("a", i), outcomes::add);
            pass(journal, i % 2 == 0 ? 50 : 37);
        }

        // then
        assertThat((store.writes - before) / 60.0).isLessThan(5.1);
    }

    private void fill(Journal journal) {
        for (int i = 0; i < 100; i++) {
            journal.append(JournalEntry.accepted(job("fill" + i, 1)), outcome -> {});
        }
        pass(journal, 300);
    }

    private Journal open(long epoch) {
        Journal journal = new Journal(fx, "group/dc/g0/", epoch, () -> {}, () -> fenced = true);
        journal.start();
        pass(journal, 50);
        assertThat(journal.isOpen()).isTrue();
        return journal;
    }

    private void pass(Journal journal, long ms) {
        long end = now + ms;
        while (now < end) {
            now = Math.min(end, now + 50);
            fx.setNow(now);
            store.serve(fx);
            journal.tick();
            store.serve(fx);
        }
    }

    private static JobSpec job(String id, int tasks) {
        return new JobSpec(id, "team", "family", JobClass.BATCH, tasks, Resources.NONE, 1_000, 3, Map.of());
    }
}
