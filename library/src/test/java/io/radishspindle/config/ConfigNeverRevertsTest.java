package io.radishspindle.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.config.ConfigEvent.DocumentReceived;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.protocol.message.ConfigDocument;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards guarantee G8 against single faults. Each test runs with the protection off, where the failure must appear,
 * and with the protection on, where it must not.
 */
class ConfigNeverRevertsTest {
    private static final Mechanisms NOT_NEWER_ONLY = new Mechanisms(false, true, true, true);
    private static final Mechanisms NO_QUIET_CHECK = new Mechanisms(true, false, true, true);
    private static final Mechanisms NO_GATHERING = new Mechanisms(true, true, false, true);
    private static final Mechanisms NO_RESOLUTION = new Mechanisms(true, true, true, false);

    private static ConfigFleet fleet(boolean protectedByIt, Mechanisms without, Object... layout) {
        ConfigFleet fleet = new ConfigFleet(protectedByIt ? Mechanisms.ALL : without, layout);
        fleet.time.runFor(1_000);
        return fleet;
    }

    private static boolean reverts(ConfigFleet.Vm vm) {
        for (int i = 1; i < vm.history.size(); i++) {
            if (vm.history.get(i) < vm.history.get(i - 1)) {
                return true;
            }
        }
        return false;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_revert_after_a_restart_during_an_outage(boolean on) {
        // given a data centre b that lags at revision 1 and joins again during a store outage
        ConfigFleet fleet = fleet(on, NO_GATHERING, "a", 3, "b", 1);
        fleet.setDefault("a1", 101);
        fleet.cut("b1");
        fleet.setDefault("a1", 102);
        fleet.store.setUp(false);
        fleet.vm("a2").stop();
        fleet.cut("a1");
        fleet.cut("a3");

        // when a2 restarts, hears b1 at once and the others a second later
        fleet.rejoin("b1");
        fleet.vm("a2").restart();
        fleet.time.after(1_200, () -> {
            fleet.rejoin("a1");
            fleet.rejoin("a3");
        });
        fleet.time.runFor(10_000);

        // then
        assertThat(fleet.vm("a2").revision()).isEqualTo(2);
        assertThat(reverts(fleet.vm("a2"))).isEqualTo(!on);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_revert_after_a_late_store_answer(boolean on) {
        // given a change at the relay whose first read is answered late
        ConfigFleet fleet = fleet(on, NOT_NEWER_ONLY, "a", 2);
        fleet.setDefault("a2", 101);
        fleet.store.delayNextReadAnswer(2_500);
        List<Either<Failure, FleetConfig>> answers = new ArrayList<>();
        fleet.change("a1", ConfigFleet.setQueue(1, "alice", 103), answers::add);
        fleet.time.runFor(10);

        // when another change overtakes the answer
        fleet.setDefault("a2", 102);
        fleet.time.runFor(8_000);

        // then the late change is a conflict
        assertThat(answers.get(0).getLeft().message()).contains("change 2 by operator");
        assertThat(fleet.vm("a1").history).contains(2L);
        assertThat(reverts(fleet.vm("a1"))).isEqualTo(!on);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_revert_when_a_partitioned_data_centre_returns(boolean on) {
        // given a push of the relay b1 to b2 that the partition holds back
        ConfigFleet fleet = fleet(on, NOT_NEWER_ONLY, "a", 2, "b", 2);
        fleet.pushDelayMs = 15_000;
        fleet.setDefault("a1", 101);
        fleet.pushDelayMs = 0;
        fleet.cut("b1");
        fleet.cut("b2");
        fleet.setDefault("a1", 102);
        fleet.time.runFor(5_000);

        // when the data centre returns, takes the newer revision and then gets the old push
        fleet.rejoin("b1");
        fleet.rejoin("b2");
        fleet.time.runFor(20_000);

        // then
        assertThat(fleet.vm("b2").history).contains(2L);
        assertThat(reverts(fleet.vm("b2"))).isEqualTo(!on);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_revert_when_a_slow_peer_sends_an_old_document_again(boolean on) {
        // given
        ConfigFleet fleet = fleet(on, NOT_NEWER_ONLY, "a", 2);
        fleet.setDefault("a1", 101);
        ConfigDocument old = fleet.vm("a1").core.answerPull(-1);
        fleet.setDefault("a1", 102);

        // when
        fleet.vm("a2").handle(new DocumentReceived("a1", old));

        // then
        assertThat(reverts(fleet.vm("a2"))).isEqualTo(!on);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_report_a_write_whose_answer_was_lost_as_applied(boolean on) {
        // given
        ConfigFleet fleet = fleet(on, NO_RESOLUTION, "a", 2);
        List<Either<Failure, FleetConfig>> answers = new ArrayList<>();

        // when
        fleet.store.loseNextWriteAnswer();
        fleet.change("a1", ConfigFleet.setQueue(0, "alice", 101), answers::add);
        fleet.time.runFor(5_000);

        // then the change is in the store once, and the operator is told so only with the protection
        assertThat(fleet.store.document().audit()).hasSize(1);
        assertThat(answers).hasSize(1);
        assertThat(answers.get(0).isRight()).isEqualTo(on);
        if (!on) {
            assertThat(answers.get(0).getLeft().notRun()).isTrue();
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_deny_a_write_that_reaches_the_store_late(boolean on) {
        // given
        ConfigFleet fleet = fleet(on, NO_RESOLUTION, "a", 2);
        List<Either<Failure, FleetConfig>> answers = new ArrayList<>();

        // when the write arrives long after its time limit
        fleet.store.delayNextWrite(4_000);
        String changeId = fleet.change("a1", ConfigFleet.setQueue(0, "alice", 101), answers::add);
        fleet.time.runFor(12_000);

        // then
        boolean applied = fleet.store.document().contains(changeId);
        assertThat(fleet.store.document().audit()).hasSize(1);
        assertThat(answers.get(0).isRight() == applied).isEqualTo(on);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_find_a_dead_watch(boolean on) {
        // given
        ConfigFleet fleet = fleet(on, NO_QUIET_CHECK, "a", 2, "b", 2);
        fleet.setDefault("a1", 101);
        fleet.store.killWatchesOf("b1");
        fleet.store.killWatchesOf("a1");

        // when a2 writes a change, and no heartbeat shows it to the relays
        fleet.cut("a2");
        fleet.store.setReachable("a2", true);
        fleet.change("a2", ConfigFleet.setQueue(1, "alice", 102), answer -> {});
        fleet.time.runFor(5_000);

        // then the relays know it within 5 s only with the protection
        assertThat(fleet.vm("b2").revision()).isEqualTo(on ? 2 : 1);
        assertThat(fleet.vm("b1").core.deadWatches()).isEqualTo(on ? 1 : 0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a1", "a2", "b1"})
    void should_name_the_other_change_to_the_loser_of_a_race(String other) {
        // given two operators who saw the same revision
        ConfigFleet fleet = fleet(true, Mechanisms.ALL, "a", 2, "b", 1);
        List<Either<Failure, FleetConfig>> answers = new ArrayList<>();

        // when
        fleet.change("a1", ConfigFleet.setQueue(0, "alice", 101), answers::add);
        fleet.change(other, ConfigFleet.setQueue(0, "bruno", 102), answers::add);
        fleet.time.runFor(2_000);

        // then
        assertThat(answers.stream().filter(Either::isRight)).hasSize(1);
        String winner = fleet.store.document().audit().get(0).actor();
        Failure refusal = answers.stream()
                .filter(Either::isLeft)
                .findFirst()
                .orElseThrow()
                .getLeft();
        assertThat(refusal.code()).isEqualTo(ErrorCode.CONFLICT);
        assertThat(refusal.notRun()).isTrue();
        assertThat(refusal.message()).contains("change 1 by " + winner).contains("set default max-queued-tasks");
    }
}
