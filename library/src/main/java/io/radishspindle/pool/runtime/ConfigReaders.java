package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import io.radishspindle.pool.runtime.Records.Member;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Chooses the VMs of this VM's region that read the configuration from the store: the two strongest in different data
 * centres, without those that do not answer this VM. Confined to one event loop.
 *
 * <p>Invariant: the choice needs no agreement; VMs whose choices differ cost a few more reads of the store.
 */
final class ConfigReaders {
    /**
     * VMs of smaller regions all read the store: five copies of a configuration of 1 MB cross a link of 42 Mbit/s in
     * 1.3 s.
     */
    private static final int MIN_REGION_VMS = 6;

    private static final int READERS = 2;
    /** A region that has shrunk counts as it was for this long, in milliseconds: entries lapse in an outage. */
    private static final long REGION_MEMORY_MS = 10_000;
    /** First back-off of a VM that did not answer in time, in milliseconds; a restart takes 1 to 2 s. */
    private static final long SILENT_BACKOFF_MS = 2_000;
    /** First back-off of a VM that refused the connection, in milliseconds: it is probably starting. */
    private static final long REFUSED_BACKOFF_MS = 300;
    /** A failure after less than this, in milliseconds, is a refusal, or a probe by a VM that starts itself. */
    private static final long REFUSED_WITHIN_MS = 300;

    private static final long MAX_BACKOFF_MS = 16_000;
    /**
     * A reader that this VM has not asked for this long, in milliseconds, is tried beside the reads, so that it isn't
     * found unresponsive only when the other one fails.
     */
    private static final long PROBE_INTERVAL_MS = 2_000;

    /** Order of preference, as a reader sends a large configuration to all other VMs of the region. */
    private static final Comparator<Map.Entry<String, Member>> STRONGEST_FIRST = Comparator.comparingDouble(
                    (Map.Entry<String, Member> vm) -> -vm.getValue().strength())
            .thenComparing(Map.Entry::getKey);

    /** A VM that failed to answer, with the time of the next attempt. */
    private record BackOff(long untilMs, int failures) {}

    private final Clock clock;
    private final ControlView view;
    private final NodeIdentity self;
    private final Map<String, BackOff> backOffs = new HashMap<>();
    private final Map<String, Long> lastTriedMs = new HashMap<>();
    /** VMs of the region as of {@link #regionVersion} of the view, strongest first. */
    private List<Map.Entry<String, Member>> region = List.of();

    private long regionVersion = -1;
    private List<Map.Entry<String, Member>> largeRegion = List.of();
    private long largeRegionUntilMs = Long.MIN_VALUE;

    ConfigReaders(Clock clock, ControlView view, NodeIdentity self) {
        this.clock = clock;
        this.view = view;
        this.self = self;
    }

    /** Whether the region has so many VMs that only some of them read the store. */
    boolean isLargeRegion() {
        return !region().isEmpty();
    }

    /** VMs of a large region, strongest first; empty if the region is small. */
    private List<Map.Entry<String, Member>> region() {
        if (view.version() != regionVersion) {
            regionVersion = view.version();
            region = view.active().entrySet().stream()
                    .filter(vm -> vm.getValue().region().equals(self.region()))
                    .sorted(STRONGEST_FIRST)
                    .toList();
        }
        if (region.size() >= MIN_REGION_VMS) {
            largeRegion = region;
            largeRegionUntilMs = clock.nowMs() + REGION_MEMORY_MS;
        }
        return clock.nowMs() < largeRegionUntilMs ? largeRegion : List.of();
    }

    /** Readers in the order in which this VM asks them; empty in a small region. */
    List<String> choose() {
        return choose(region().stream()
                .filter(vm -> vm.getKey().equals(self.vmId()) || !backOffs.containsKey(vm.getKey()))
                .toList());
    }

    /**
     * VMs that failed to answer, and readers that weren't asked lately, which are to be tried now beside the reads, so
     * that no read waits for a VM that hangs. The caller reports the result of each.
     */
    List<String> dueProbes() {
        long nowMs = clock.nowMs();
        backOffs.keySet().retainAll(view.active().keySet());
        lastTriedMs.keySet().retainAll(view.active().keySet());
        List<String> due = new ArrayList<>();
        backOffs.forEach((vm, backOff) -> {
            if (backOff.untilMs() <= nowMs) {
                due.add(vm);
            }
        });
        choose().stream()
                .filter(vm -> !vm.equals(self.vmId())
                        && nowMs - lastTriedMs.computeIfAbsent(vm, ignored -> nowMs) >= PROBE_INTERVAL_MS)
                .forEach(due::add);
        for (String vm : due) {
            lastTriedMs.put(vm, nowMs);
            backOffs.computeIfPresent(vm, (id, last) -> new BackOff(nowMs + MAX_BACKOFF_MS, last.failures()));
        }
        return due;
    }

    private static List<String> choose(List<Map.Entry<String, Member>> candidates) {
        if (candidates.isEmpty()) {
            return List.of();
        }
        Map.Entry<String, Member> first = candidates.get(0);
        List<String> chosen = new ArrayList<>(List.of(first.getKey()));
        candidates.stream()
                .filter(vm ->
                        !vm.getValue().dataCentre().equals(first.getValue().dataCentre()))
                .map(Map.Entry::getKey)
                .limit(READERS - 1)
                .forEach(chosen::add);
        return chosen;
    }

    /** Whether this VM reads the store, as one of a small region or as a reader. */
    boolean isReader() {
        return !isLargeRegion() || choose().contains(self.vmId());
    }

    /** Whether a VM would be a reader if all VMs answered this one. */
    boolean isFirstChoice(String vm) {
        return choose(region()).contains(vm);
    }

    /** Number of VMs of the region that are preferred to this one as readers. */
    int rank() {
        List<String> ids = region().stream().map(Map.Entry::getKey).toList();
        int rank = ids.indexOf(self.vmId());
        return rank < 0 ? ids.size() : rank;
    }

    void onAnswer(String vm) {
        lastTriedMs.put(vm, clock.nowMs());
        backOffs.remove(vm);
    }

    /** @param elapsedMs time from the request to its failure, in milliseconds */
    void onNoAnswer(String vm, long elapsedMs, String reason) {
        BackOff last = backOffs.get(vm);
        int failures = last == null ? 0 : last.failures();
        long firstMs = elapsedMs < REFUSED_WITHIN_MS ? REFUSED_BACKOFF_MS : SILENT_BACKOFF_MS;
        long backOffMs = Math.min(MAX_BACKOFF_MS, firstMs << Math.min(failures, 6));
        backOffs.put(vm, new BackOff(clock.nowMs() + backOffMs, failures + 1));
        if (failures == 0) {
            Logger.info(
                    "event=config-reader-unresponsive vm={} elapsed_ms={} back_off_ms={} reason=\"{}\"",
                    vm,
                    elapsedMs,
                    backOffMs,
                    reason);
        }
    }
}
