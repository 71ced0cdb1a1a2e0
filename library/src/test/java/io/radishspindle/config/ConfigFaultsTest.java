package io.radishspindle.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards guarantee G8 against random combinations of faults, judged by what operators were told and VMs applied. */
class ConfigFaultsTest {
    private static final int STEPS = 60;
    private static final String[] VMS = {"a1", "a2", "a3", "b1", "b2", "c1", "c2"};

    private static final int ABLATION_RUNS = 100;

    private final Map<String, Either<Failure, FleetConfig>> answers = new LinkedHashMap<>();
    private final List<List<Long>> lives = new ArrayList<>();

    @Property(tries = 300, seed = "20261204")
    void should_never_revert_and_never_misreport_under_random_faults(@ForAll long seed) {
        checkRun(Mechanisms.ALL, seed);
    }

    /** The same runs must catch the missing protection, or they would prove nothing. */
    @ParameterizedTest
    @CsvSource({"false, true", "true, false"})
    void should_fail_without_a_protection(boolean newerOnly, boolean resolvesLostAnswers) {
        // given
        Mechanisms weakened = new Mechanisms(newerOnly, true, true, resolvesLostAnswers);

        // when
        long failed = LongStream.range(0, ABLATION_RUNS)
                .filter(seed -> fails(weakened, seed))
                .count();

        // then
        assertThat(failed).isPositive();
    }

    private boolean fails(Mechanisms mechanisms, long seed) {
        try {
            checkRun(mechanisms, seed);
            return false;
        } catch (AssertionError e) {
            return true;
        }
    }

    private void checkRun(Mechanisms mechanisms, long seed) {
        answers.clear();
        lives.clear();
        // given
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        ConfigFleet fleet = new ConfigFleet(mechanisms, "a", 3, "b", 2, "c", 2);

        // when faults and changes mix, and then everything heals
        for (int i = 0; i < STEPS; i++) {
            step(fleet, random, i);
            fleet.time.runFor(random.nextInt(1_500));
        }
        heal(fleet);
        fleet.time.runFor(20_000);

        // then
        FleetConfig stored = fleet.store.document();
        fleet.vms.values().forEach(vm -> assertThat(vm.revision()).isEqualTo(stored.revision()));
        fleet.vms.values().forEach(vm -> lives.add(vm.history));
        lives.forEach(history -> assertThat(history).isSorted());
        assertThat(fleet.store.allAudit()).hasSize((int) stored.revision()).doesNotHaveDuplicates();
        answers.forEach((changeId, answer) -> checkAnswer(fleet, changeId, answer));
    }

    private static void checkAnswer(ConfigFleet fleet, String changeId, Either<Failure, FleetConfig> answer) {
        boolean applied = fleet.store.allAudit().stream()
                .anyMatch(entry -> entry.changeId().equals(changeId));
        if (answer.isRight()) {
            assertThat(applied).isTrue();
        } else if (answer.getLeft().notRun()) {
            assertThat(applied).isFalse();
        }
    }

    private void step(ConfigFleet fleet, UniformRandomProvider random, int i) {
        String id = VMS[random.nextInt(VMS.length)];
        switch (random.nextInt(12)) {
            case 0 -> fleet.cut(id);
            case 1 -> fleet.rejoin(id);
            case 2 -> fleet.store.setUp(false);
            case 3 -> fleet.store.setUp(true);
            case 4 -> fleet.store.delayNextWrite(random.nextInt(6_000));
            case 5 -> fleet.store.delayNextReadAnswer(random.nextInt(6_000));
            case 6 -> fleet.store.loseNextWriteAnswer();
            case 7 -> fleet.pushDelayMs = random.nextInt(5_000);
            case 8 -> restart(fleet.vm(id));
            case 9 -> fleet.store.setOneWayMs(1 + random.nextInt(400));
            default -> change(fleet, fleet.vm(id), i);
        }
    }

    /** Without a store, a restarted VM can't know more than its peers, so each life has a history of its own. */
    private void restart(ConfigFleet.Vm vm) {
        lives.add(List.copyOf(vm.history));
        vm.history.clear();
        vm.restart();
    }

    private void change(ConfigFleet fleet, ConfigFleet.Vm vm, int value) {
        long basedOn = Math.max(0, vm.revision());
        String[] changeId = new String[1];
        changeId[0] = fleet.change(vm.id, ConfigFleet.setQueue(basedOn, "operator", 1 + value), answer -> {
            answers.put(changeId[0], answer);
        });
    }

    private static void heal(ConfigFleet fleet) {
        for (String id : VMS) {
            fleet.rejoin(id);
        }
        fleet.store.setUp(true);
        fleet.store.setOneWayMs(1);
        fleet.pushDelayMs = 0;
    }
}
