package io.radishspindle.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the behaviour when the owner dies and when the store is out, without other faults. */
class OutageTest {
    private static final String GROUP = EntryVm.DATA_CENTRE + "/g0";
    private static final long WARM_UP_MS = 30_000;

    private final Simulation sim = new Simulation(5, "");
    private Cell cell = newCell(sim);

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void should_start_tasks_soon_after_the_owner_died(long seed) {
        // given
        Simulation other = new Simulation(seed, "");
        cell = newCell(other);
        other.runUntil(WARM_UP_MS);
        cell.setPace(20);
        other.runUntil(WARM_UP_MS + 10_000 + seed * 37);
        long epoch = epoch();
        long diedAt = other.now();

        // when
        owner().kill();
        other.runUntil(diedAt + 10_000);

        // then
        long first = cell.history.stream()
                .filter(HistoryEvent.Started.class::isInstance)
                .map(HistoryEvent.Started.class::cast)
                .filter(started -> started.atMs() > diedAt
                        && started.attempt().epoch() == epoch + 1
                        && groupOf(started).equals(GROUP))
                .mapToLong(HistoryEvent.Started::atMs)
                .min()
                .orElseThrow();
        assertThat(first - diedAt).isLessThan(2_000);
    }

    @Test
    void should_go_on_with_a_live_owner_while_the_store_is_out() {
        // given
        sim.runUntil(WARM_UP_MS);
        long epoch = epoch();

        // when
        cell.store.setCondition(FakeStore.Condition.OUT);
        sim.runUntil(WARM_UP_MS + 60_000);

        // then
        assertThat(epoch()).isEqualTo(epoch);
        assertThat(events(HistoryEvent.LeaseLapsed.class)).isEmpty();
        assertThat(cell.history)
                .filteredOn(event -> event.atMs() > WARM_UP_MS + 2_000)
                .noneMatch(event -> event instanceof HistoryEvent.Answered answered
                        && answered.verdict() == HistoryEvent.Verdict.ACCEPTED);
        recoverAndCheck(90_000);
    }

    @Test
    void should_keep_tasks_running_when_the_owner_dies_during_an_outage() {
        // given
        sim.runUntil(WARM_UP_MS);
        cell.store.setCondition(FakeStore.Condition.OUT);
        sim.runUntil(WARM_UP_MS + 1_000);

        // when
        owner().kill();
        sim.runUntil(WARM_UP_MS + 60_000);

        // then
        assertThat(cell.metrics.counter("ownership.caretaker-terms").getCount()).isPositive();
        assertThat(events(HistoryEvent.LeaseLapsed.class)).isEmpty();
        recoverAndCheck(90_000);
    }

    @Test
    void should_stop_starts_when_too_many_finishes_are_not_journalled() {
        // given
        sim.runUntil(WARM_UP_MS);

        // when
        cell.setPace(20);
        sim.runUntil(WARM_UP_MS + 60_000);
        cell.store.setCondition(FakeStore.Condition.OUT);
        sim.runUntil(WARM_UP_MS + 160_000);

        // then
        assertThat(cell.history)
                .filteredOn(event -> event.atMs() > WARM_UP_MS + 130_000)
                .noneMatch(HistoryEvent.Started.class::isInstance);
        cell.store.setCondition(FakeStore.Condition.GOOD);
        sim.runUntil(WARM_UP_MS + 170_000);
        assertThat(cell.history)
                .filteredOn(event -> event.atMs() > WARM_UP_MS + 160_000)
                .anyMatch(HistoryEvent.Started.class::isInstance);
    }

    private void recoverAndCheck(long afterMs) {
        cell.store.setCondition(FakeStore.Condition.GOOD);
        cell.stopSubmitting();
        sim.runUntil(WARM_UP_MS + afterMs + 120_000);
        assertThat(HistoryChecker.check(cell.history)).isEmpty();
    }

    private <T> List<T> events(Class<T> type) {
        return cell.history.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private EntryVm owner() {
        Optional<String> owner = cell.vms.get(0).ownerOf(GROUP);
        return cell.vms.stream()
                .filter(vm -> Optional.of(vm.id).equals(owner))
                .findFirst()
                .orElseThrow();
    }

    private long epoch() {
        return owner().summaries().stream()
                .filter(summary -> summary.group().equals(GROUP))
                .findFirst()
                .orElseThrow()
                .epoch();
    }

    /** The group of the job, by the submitter's record. */
    private String groupOf(HistoryEvent.Started started) {
        return cell.groupOf(started.attempt().task().jobId());
    }

    private static Cell newCell(Simulation sim) {
        return new Cell(sim, EnumSet.noneOf(Mechanism.class), 4, 12, seed -> new FirstFitPlacement());
    }
}
