package io.radishspindle.settings;

import io.radishspindle.settings.EntrySettings.Ownership;
import io.radishspindle.settings.EntrySettings.Peers;
import io.radishspindle.settings.EntrySettings.Routing;
import java.util.HashSet;
import java.util.Set;

/** Checks between settings. Throws {@link SettingsException}; stateless and thread-safe. */
final class SettingsRelations {
    /** A control lease survives the loss of this many control messages. */
    private static final int TOLERATED_LOSSES = 2;

    private SettingsRelations() {}

    static void check(EntrySettings settings) {
        peers(settings.peers());
        regions(settings);
        ownership(settings.ownership());
        routing(settings.routing());
        ports(settings.listen());
    }

    private static void peers(Peers p) {
        require(
                2 * p.heartbeatMs() <= p.suspectAfterMs(),
                "[peers] suspect-after: must be at least twice heartbeat, or one lost heartbeat makes a peer suspect");
        require(p.suspectAfterMs() < p.deadAfterMs(), "[peers] dead-after: must be longer than suspect-after");
        require(p.heartbeatMs() <= p.remoteHeartbeatMs(), "[peers] remote-heartbeat: must not be below heartbeat");
        Set<String> ids = new HashSet<>();
        p.seeds().forEach(seed -> require(ids.add(seed.id()), "[peers] seeds: '" + seed.id() + "' is given twice"));
    }

    private static void regions(EntrySettings settings) {
        Set<String> known = new HashSet<>();
        known.add(settings.vm().dataCentre());
        String own = settings.vm().dataCentre() + ":";
        for (String entry : settings.peers().regions()) {
            String dataCentre = entry.substring(0, entry.indexOf(':'));
            known.add(dataCentre);
            boolean differs = entry.startsWith(own)
                    && !entry.substring(own.length()).equals(settings.vm().region());
            require(!differs, "[peers] regions: '" + entry + "' differs from [vm] region");
        }
        for (EntrySettings.Seed seed : settings.peers().seeds()) {
            require(
                    known.contains(seed.dataCentre()),
                    "[peers] regions: has no region for data centre '" + seed.dataCentre() + "' of seed '" + seed.id()
                            + "'");
        }
    }

    private static void ownership(Ownership o) {
        require(
                TOLERATED_LOSSES * o.heartbeatMs() <= o.controlLeaseMs(),
                "[ownership] control-lease: must be at least twice heartbeat");
        require(o.controlLeaseMs() < o.runLeaseMs(), "[ownership] run-lease: must be longer than control-lease");
    }

    private static void routing(Routing r) {
        require(
                r.defaultDeadlineMs() <= r.maxDeadlineMs(),
                "[routing] max-deadline: must not be below default-deadline");
        require(
                r.maxQueuedPerCaller() <= r.maxQueuedPerService(),
                "[routing] max-queued-per-caller: must not be above max-queued-per-service");
    }

    private static void ports(EntrySettings.Listen l) {
        boolean distinct = differ(l.callersPort(), l.operatorsPort())
                && differ(l.callersPort(), l.peersPort())
                && differ(l.operatorsPort(), l.peersPort());
        require(distinct, "[listen] peers-port: the three ports must differ");
    }

    /** Port 0 lets the system choose a free port, so it may occur several times. */
    private static boolean differ(int a, int b) {
        return a == 0 || a != b;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new SettingsException(message);
        }
    }
}
