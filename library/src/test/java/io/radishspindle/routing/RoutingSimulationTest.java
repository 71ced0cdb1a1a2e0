package io.radishspindle.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Seeded runs of several entry VMs and executors under faults; the history of callers and executors is checked. */
class RoutingSimulationTest {
    private static final double CALLS_PER_SECOND = 250;
    private static final long DURATION_MS = 20_000;

    private static RoutingSimulation run(long seed, RoutingOptions options) {
        return new RoutingSimulation(seed, options, SimFaults.ALL).run(CALLS_PER_SECOND, DURATION_MS);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void should_keep_guarantees_under_faults(long seed) {
        // when
        RoutingSimulation simulation = run(seed, RoutingTestData.options());
        // then
        assertThat(HistoryChecker.check(simulation.history)).isEmpty();
        long answered = simulation.history.events().stream()
                .filter(event -> event instanceof History.Answered)
                .count();
        assertThat(answered).isGreaterThan(3_000);
    }

    /** Shows that each safeguard is needed: without it the same run breaks its guarantee. */
    @ParameterizedTest
    @CsvSource({
        "ATTEMPT_MATCHING, G3",
        "NOT_RUN_TRACKING, G4",
        "SAFE_RETRY, G5",
        "LEAVING_SIGNALS, G6",
        "DRAIN_WAIT, G7"
    })
    void should_break_guarantee_without_safeguard(Safeguard safeguard, String guarantee) {
        // when
        List<String> violations =
                HistoryChecker.check(run(1, RoutingTestData.options().without(safeguard)).history);
        // then
        assertThat(violations).anyMatch(violation -> violation.startsWith(guarantee));
    }

    @Test
    void should_get_fewer_busy_answers_with_split_slots() {
        // when
        int split = busyAnswers(run(1, RoutingTestData.options()));
        int shared = busyAnswers(run(1, RoutingTestData.options().without(Safeguard.SLOT_SPLIT)));
        // then
        assertThat(split).isLessThan(shared / 4);
    }

    @Test
    void should_give_same_history_for_same_seed() {
        List<History.Event> first = run(3, RoutingTestData.options()).history.events();
        assertThat(run(3, RoutingTestData.options()).history.events()).isEqualTo(first);
    }

    private static int busyAnswers(RoutingSimulation simulation) {
        return simulation.executors.values().stream()
                .mapToInt(executor -> executor.busyAnswers)
                .sum();
    }
}
