package io.radishspindle.routing;

import io.radishspindle.settings.EntrySettings;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Options of a {@link RoutingCore}. Immutable and thread-safe.
 *
 * @param settings routing section of the settings file
 * @param regions region of each data centre
 * @param safeguards safeguards in force
 */
public record RoutingOptions(EntrySettings.Routing settings, Map<String, String> regions, Set<Safeguard> safeguards) {
    /** Time between ticks, in milliseconds; bounds how late a passed deadline is noticed. */
    public static final long TICK_MS = 10;
    /**
     * Time between ticks while no request is pending, in milliseconds; each tick of an idle VM costs about 0.1 ms of
     * processor time.
     */
    static final long IDLE_TICK_MS = 100;
    /** Largest body that is forwarded to another region, in bytes. */
    static final int MAX_REMOTE_BODY_BYTES = 64 * 1024;
    /** Largest body that is forwarded at all, in bytes, so that it fits with its headers into a frame of 1 MiB. */
    static final int MAX_FORWARD_BODY_BYTES = 900 * 1024;
    /** Forwards of one request that peers may refuse as not run before the request waits at this VM. */
    static final int MAX_FORWARDS = 2;
    /** {@link #MAX_FORWARDS} of a VM that has no slot of the service, where waiting is pointless. */
    static final int MAX_FORWARDS_WITHOUT_SLOTS = 20;

    public RoutingOptions {
        regions = Map.copyOf(regions);
        safeguards = Set.copyOf(safeguards);
    }

    /** The options of a VM, with all safeguards in force. */
    public static RoutingOptions of(EntrySettings settings) {
        Map<String, String> regions = new HashMap<>();
        for (String entry : settings.peers().regions()) {
            int colon = entry.indexOf(':');
            if (colon > 0) {
                regions.put(entry.substring(0, colon), entry.substring(colon + 1));
            }
        }
        return new RoutingOptions(settings.routing(), regions, EnumSet.allOf(Safeguard.class));
    }

    /** These options without one safeguard. */
    public RoutingOptions without(Safeguard safeguard) {
        Set<Safeguard> others = EnumSet.allOf(Safeguard.class);
        others.retainAll(safeguards);
        others.remove(safeguard);
        return new RoutingOptions(settings, regions, others);
    }

    boolean has(Safeguard safeguard) {
        return safeguards.contains(safeguard);
    }

    /** Region of a data centre; a data centre without one is a region of its own. */
    String regionOf(String dataCentre) {
        return regions.getOrDefault(dataCentre, dataCentre);
    }
}
