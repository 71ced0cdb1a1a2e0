package io.radishspindle.membership;

import io.radishspindle.config.VirtualTime;
import io.radishspindle.membership.MembershipAction.Resumed;
import io.radishspindle.membership.MembershipAction.Send;
import io.radishspindle.membership.MembershipEvent.DigestReceived;
import io.radishspindle.membership.MembershipEvent.HeartbeatReceived;
import io.radishspindle.membership.MembershipEvent.LocalStateChanged;
import io.radishspindle.membership.MembershipEvent.Tick;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.model.Resources;
import io.radishspindle.protocol.PeerCodec;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.message.Heartbeat;
import io.radishspindle.protocol.message.RelayDigest;
import io.radishspindle.settings.EntrySettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Membership cores of many VMs with a fake network in virtual time. */
final class MembershipFleet {
    static final long TICK_MS = 50;
    private static final long LOCAL_MS = 1;
    private static final long REGION_MS = 8;
    /** IP and TCP headers of a segment with timestamps, and of its acknowledgement. */
    private static final int HEADER_BYTES = 2 * 52;

    /** One VM and what it has sent. */
    final class Vm {
        final String id;
        final String dataCentre;
        final String region;
        final List<Long> resumed = new ArrayList<>();
        MembershipCore core;
        boolean running = true;
        boolean paused;
        boolean deaf;
        boolean mute;
        long sentBytes;
        long receivedBytes;
        long crossRegionBytes;
        List<String> leavingEndpoints = List.of();
        private final List<Runnable> inbox = new ArrayList<>();
        private int incarnations;

        Vm(String id, String dataCentre, String region) {
            this.id = id;
            this.dataCentre = dataCentre;
            this.region = region;
        }

        void start() {
            running = true;
            core = new MembershipCore(time.nowMs(), settings(this), ++incarnations);
        }

        Liveness sees(String other) {
            return core.view(time.nowMs()).entryVms().stream()
                    .filter(vm -> vm.id().equals(other))
                    .findFirst()
                    .orElseThrow()
                    .liveness();
        }

        /** A paused process finds its messages in the socket buffers when it resumes. */
        void setPaused(boolean nowPaused) {
            paused = nowPaused;
            if (!nowPaused) {
                tick(this);
                List.copyOf(inbox).forEach(Runnable::run);
                inbox.clear();
            }
        }
    }

    final VirtualTime time = new VirtualTime();
    final Map<String, Vm> vms = new TreeMap<>();
    private final UniformRandomProvider random;
    private final Set<String> cutRegions = new HashSet<>();
    private boolean loadChanges;

    /** @param layout region, data centre and number of its VMs, in turn */
    MembershipFleet(long seed, Object... layout) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int i = 0; i < layout.length; i += 3) {
            for (int n = 1; n <= (Integer) layout[i + 2]; n++) {
                Vm vm = new Vm(layout[i + 1] + "-" + n, (String) layout[i + 1], (String) layout[i]);
                vms.put(vm.id, vm);
            }
        }
        vms.values().forEach(Vm::start);
        vms.values().forEach(vm -> time.after(random.nextInt((int) TICK_MS), () -> tickForEver(vm)));
    }

    void setLoadChanges(boolean changes) {
        loadChanges = changes;
    }

    void cutRegion(String region) {
        cutRegions.add(region);
    }

    void joinRegions() {
        cutRegions.clear();
    }

    private EntrySettings settings(Vm self) {
        List<EntrySettings.Seed> seeds = vms.values().stream()
                .filter(vm -> vm != self)
                .map(vm -> new EntrySettings.Seed(vm.id, vm.dataCentre, "127.0.0.1", 1))
                .toList();
        List<String> regions = vms.values().stream()
                .map(vm -> vm.dataCentre + ":" + vm.region)
                .distinct()
                .toList();
        return new EntrySettings(
                new EntrySettings.Vm(self.id, self.dataCentre, self.region, "127.0.0.1"),
                new EntrySettings.Listen(1, 2, 3),
                new EntrySettings.Peers(seeds, regions, "", 250, 1000, 1000, 3000),
                null,
                null,
                null);
    }

    private void tickForEver(Vm vm) {
        if (vm.running && !vm.paused) {
            tick(vm);
        }
        time.after(TICK_MS, () -> tickForEver(vm));
    }

    private void tick(Vm vm) {
        handle(vm, localState(vm));
        handle(vm, new Tick());
    }

    /** Two groups and two services for each VM; with changing load, their numbers differ at each tick. */
    private LocalStateChanged localState(Vm vm) {
        int change = loadChanges ? random.nextInt(1_000) : 0;
        Resources total = new Resources(3_840_000, 15_728_640, 240);
        List<GroupSummary> groups = new ArrayList<>();
        List<ServiceLoad> services = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            Resources free = new Resources(384_000 + change, 1_572_864 + change, 24);
            Resources largest = new Resources(128_000, 524_288, 8);
            String group = vm.dataCentre + "/g" + vm.id + i;
            groups.add(new GroupSummary(group, 12, total, free, largest, 100 + change, true));
            services.add(new ServiceLoad("service-" + i, change % 200, change % 50));
        }
        return new LocalStateChanged(40_000, groups, services, vm.leavingEndpoints);
    }

    private void handle(Vm vm, MembershipEvent event) {
        if (!vm.running) {
            return;
        }
        if (vm.paused) {
            vm.inbox.add(() -> handle(vm, event));
            return;
        }
        for (MembershipAction action : vm.core.handle(time.nowMs(), event)) {
            if (action instanceof Send send) {
                deliver(vm, vms.get(send.toVm()), send.message());
            } else if (action instanceof Resumed resumed) {
                vm.resumed.add(resumed.pausedMs());
            }
        }
    }

    private void deliver(Vm from, Vm to, PeerMessage message) {
        boolean remote = !from.region.equals(to.region);
        int bytes = PeerCodec.encodedSize(message) + HEADER_BYTES;
        from.sentBytes += bytes;
        from.crossRegionBytes += remote ? bytes : 0;
        boolean cut = remote && (cutRegions.contains(from.region) || cutRegions.contains(to.region));
        if (from.mute || to.deaf || cut) {
            return;
        }
        to.receivedBytes += bytes;
        MembershipEvent event = message instanceof Heartbeat heartbeat
                ? new HeartbeatReceived(from.id, heartbeat)
                : new DigestReceived(from.id, (RelayDigest) message);
        time.after(remote ? REGION_MS : LOCAL_MS, () -> handle(to, event));
    }

    /** Bytes a second across regions if each VM sent its whole state once a second to each VM of another region. */
    long crossRegionBroadcastBytes() {
        long bytes = 0;
        for (Vm from : vms.values()) {
            LocalStateChanged s = localState(from);
            Heartbeat whole = new Heartbeat(
                    from.id, 1, 1, 1, false, s.configRevision(), s.groups(), s.services(), s.leavingEndpoints());
            long receivers = vms.values().stream()
                    .filter(to -> !to.region.equals(from.region))
                    .count();
            bytes += receivers * (PeerCodec.encodedSize(whole) + HEADER_BYTES);
        }
        return bytes;
    }

    /** Time until a VM sees another one in a state, in steps of 10 ms; -1 if it does not within the limit. */
    long timeUntil(String observer, String observed, Liveness liveness, long limitMs) {
        long startMs = time.nowMs();
        while (time.nowMs() - startMs <= limitMs) {
            if (vms.get(observer).sees(observed) == liveness) {
                return time.nowMs() - startMs;
            }
            time.runFor(10);
        }
        return -1;
    }
}
