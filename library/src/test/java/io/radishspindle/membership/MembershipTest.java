package io.radishspindle.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.membership.MembershipView.Endpoint;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.model.Resources;
import io.radishspindle.platform.VmList;
import java.util.List;
import java.util.LongSummaryStatistics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the time in which failures are found, and views against pauses, partitions and late messages. */
class MembershipTest {
    private static final Object[] TODAY = {"seoul", "sel", 3, "seoul", "icn", 2, "busan", "pus", 3};
    private static final Object[] TWO_YEARS = {
        "r1", "a", 4, "r1", "b", 4, "r1", "c", 4, "r2", "d", 4, "r2", "e", 4, "r3", "f", 4, "r3", "g", 4
    };

    private static MembershipFleet settled(long seed, Object... layout) {
        MembershipFleet fleet = new MembershipFleet(seed, layout);
        fleet.time.runFor(10_000);
        return fleet;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void should_see_all_vms_as_live_and_stay_so(long seed) {
        // given
        MembershipFleet fleet = settled(seed, TODAY);

        // when, then
        for (int i = 0; i < 200; i++) {
            fleet.time.runFor(100);
            fleet.vms.values().forEach(vm -> fleet.vms.keySet().forEach(other -> assertThat(vm.sees(other))
                    .as("%s sees %s", vm.id, other)
                    .isEqualTo(Liveness.LIVE)));
        }
    }

    @ParameterizedTest
    @CsvSource({"sel-1, 1100, 3100", "icn-1, 4100, 6100", "pus-2, 6200, 8200"})
    void should_find_a_dead_vm(String observer, long suspectLimitMs, long deadLimitMs) {
        LongSummaryStatistics suspected = new LongSummaryStatistics();
        LongSummaryStatistics dead = new LongSummaryStatistics();
        for (long seed = 1; seed <= 20; seed++) {
            // given
            MembershipFleet fleet = settled(seed, TODAY);
            fleet.time.runFor(seed * 37);

            // when
            fleet.vms.get("sel-2").running = false;

            // then
            long suspectMs = fleet.timeUntil(observer, "sel-2", Liveness.SUSPECT, 20_000);
            long deadMs = suspectMs + fleet.timeUntil(observer, "sel-2", Liveness.DEAD, 20_000);
            assertThat(suspectMs).isBetween(500L, suspectLimitMs);
            assertThat(deadMs).isBetween(2_500L, deadLimitMs);
            suspected.accept(suspectMs);
            dead.accept(deadMs);
        }
        System.out.printf("%s finds dead sel-2: suspect %s, dead %s%n", observer, suspected, dead);
    }

    @Test
    void should_replace_a_dead_relay() {
        // given the relay of sel, which tells pus about sel
        MembershipFleet fleet = settled(1, TODAY);

        // when
        fleet.vms.get("sel-1").running = false;
        fleet.time.runFor(15_000);

        // then
        assertThat(fleet.vms.get("pus-3").sees("sel-1")).isEqualTo(Liveness.DEAD);
        assertThat(fleet.vms.get("pus-3").sees("sel-2")).isEqualTo(Liveness.LIVE);
        assertThat(fleet.vms.get("sel-3").sees("pus-3")).isEqualTo(Liveness.LIVE);
    }

    @Test
    void should_not_suspect_others_after_an_own_pause() {
        // given a VM that is paused for 10 s
        MembershipFleet fleet = settled(1, TODAY);
        MembershipFleet.Vm paused = fleet.vms.get("sel-2");
        paused.setPaused(true);
        long suspectMs = fleet.timeUntil("sel-1", "sel-2", Liveness.SUSPECT, 5_000);
        fleet.time.runFor(10_000);

        // when
        paused.setPaused(false);

        System.out.printf("paused: suspect after %d ms%n", suspectMs);

        // then it notices the pause, and neither it nor its peers draw wrong conclusions
        assertThat(suspectMs).isBetween(500L, 1_100L);
        assertThat(paused.resumed).hasSize(1);
        for (int i = 0; i < 50; i++) {
            assertThat(paused.sees("sel-1")).isEqualTo(Liveness.LIVE);
            assertThat(paused.sees("pus-1")).isEqualTo(Liveness.LIVE);
            fleet.time.runFor(100);
        }
        assertThat(fleet.vms.get("sel-1").sees("sel-2")).isEqualTo(Liveness.LIVE);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_find_a_half_partitioned_vm(boolean mute) {
        // given
        MembershipFleet fleet = settled(1, TODAY);

        // when one direction fails
        fleet.vms.get("sel-2").mute = mute;
        fleet.vms.get("sel-2").deaf = !mute;

        // then both sides suspect each other
        long startMs = fleet.time.nowMs();
        long suspectMs = fleet.timeUntil("sel-1", "sel-2", Liveness.SUSPECT, 5_000);
        System.out.printf("half-partitioned, mute %b: suspect after %d ms%n", mute, suspectMs);
        assertThat(suspectMs).isBetween(500L, 1_900L);
        assertThat(fleet.timeUntil("sel-2", "sel-1", Liveness.SUSPECT, 5_000)).isNotNegative();
        assertThat(fleet.time.nowMs() - startMs).isLessThanOrEqualTo(1_900);
        assertThat(fleet.timeUntil("sel-1", "sel-2", Liveness.DEAD, 5_000)).isNotNegative();
    }

    @Test
    void should_recover_from_a_partition_of_regions() {
        // given
        MembershipFleet fleet = settled(1, TWO_YEARS);
        fleet.cutRegion("r1");
        fleet.time.runFor(60_000);
        assertThat(fleet.vms.get("a-1").sees("d-1")).isEqualTo(Liveness.DEAD);
        assertThat(fleet.vms.get("d-2").sees("f-4")).isEqualTo(Liveness.LIVE);

        // when
        fleet.joinRegions();
        fleet.time.runFor(20_000);

        // then
        fleet.vms.values().forEach(vm -> fleet.vms.keySet().forEach(other -> assertThat(vm.sees(other))
                .isEqualTo(Liveness.LIVE)));
    }

    @Test
    void should_notice_a_restarted_vm_at_once() {
        // given
        MembershipFleet fleet = settled(1, TODAY);
        fleet.vms.get("pus-1").running = false;
        fleet.time.runFor(10_000);

        // when
        fleet.vms.get("pus-1").start();
        fleet.time.runFor(3_000);

        // then
        assertThat(fleet.vms.get("pus-2").sees("pus-1")).isEqualTo(Liveness.LIVE);
        fleet.time.runFor(7_000);
        assertThat(fleet.vms.get("sel-3").sees("pus-1")).isEqualTo(Liveness.LIVE);
    }

    @Test
    void should_spread_leaving_endpoints_to_all_regions_in_seconds() {
        // given
        MembershipFleet fleet = settled(1, TWO_YEARS);
        VmList.Vm endpoint = new VmList.Vm(
                "e-1", VmList.Kind.ENDPOINT, "a", "", "h", 1, VmList.State.LIVE, "layout", 8, 64, Resources.NONE);
        fleet.vms
                .values()
                .forEach(vm -> vm.core.handle(
                        fleet.time.nowMs(),
                        new MembershipEvent.ListingReceived(new VmList.Listing(1, List.of(endpoint)))));

        // when
        fleet.vms.get("a-3").leavingEndpoints = List.of("e-1");
        fleet.time.runFor(2_500);

        // then
        fleet.vms.values().forEach(vm -> assertThat(
                        vm.core.view(fleet.time.nowMs()).endpoints())
                .extracting(Endpoint::liveness)
                .containsExactly(Liveness.LEAVING));
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void should_forget_a_vm_that_the_list_lacks_only_when_it_is_dead(boolean running, boolean known) {
        // given a list that names sel-1 and a worker, but not sel-2
        MembershipFleet fleet = settled(1, TODAY);
        fleet.vms.get("sel-2").running = running;
        fleet.time.runFor(5_000);
        MembershipCore core = fleet.vms.get("sel-1").core;
        VmList.Vm listed = new VmList.Vm(
                "sel-1", VmList.Kind.ENTRY, "sel", "", "h", 1, VmList.State.LIVE, "", 0, 0, Resources.NONE);

        // when
        core.handle(fleet.time.nowMs(), new MembershipEvent.ListingReceived(new VmList.Listing(1, List.of(listed))));

        // then
        assertThat(core.view(fleet.time.nowMs()).entryVms())
                .extracting(MembershipView.EntryVm::id)
                .hasSize(known ? 8 : 7)
                .contains("sel-1", "sel-3", "pus-1");
    }

    @Test
    void should_stay_within_the_byte_budget_at_the_two_year_size() {
        // given 28 VMs in 7 data centres and 3 regions whose load changes all the time
        MembershipFleet fleet = settled(1, TWO_YEARS);
        fleet.setLoadChanges(true);
        fleet.time.runFor(5_000);
        fleet.vms.values().forEach(vm -> {
            vm.sentBytes = 0;
            vm.receivedBytes = 0;
            vm.crossRegionBytes = 0;
        });

        // when
        long seconds = 60;
        fleet.time.runFor(1_000 * seconds);

        // then
        long sent =
                fleet.vms.values().stream().mapToLong(vm -> vm.sentBytes).max().orElseThrow() / seconds;
        long received = fleet.vms.values().stream()
                        .mapToLong(vm -> vm.receivedBytes)
                        .max()
                        .orElseThrow()
                / seconds;
        long mean = fleet.vms.values().stream().mapToLong(vm -> vm.sentBytes).sum() / seconds / 28;
        long cross =
                fleet.vms.values().stream().mapToLong(vm -> vm.crossRegionBytes).sum() / seconds;
        long broadcast = fleet.crossRegionBroadcastBytes();
        System.out.printf(
                "bytes/s: sent max %d mean %d, received max %d, across regions %d, full-state broadcast %d%n",
                sent, mean, received, cross, broadcast);
        assertThat(cross).isLessThan(broadcast / 10);
        assertThat(sent).isLessThan(25_000);
        assertThat(received).isLessThan(25_000);
    }
}
