package io.radishspindle.bench.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Plays a day of changes against one strategy. Watches, checks, polls and restarts follow the rules of the product;
 * the network and the store only add delays. Deterministic for a seed; not thread-safe.
 */
final class PropagationModel {
    static final int CHANGES_PER_DAY = 3_500;
    /** 10 failures and 190 restarts or replacements of all VMs of the cell; entry VMs get their share of 1 in 5. */
    static final int ENTRY_VM_STOPS_PER_DAY = 40;

    private static final long DAY_MS = 86_400_000;
    private static final long WATCH_WAIT_MS = 30_000;
    private static final long QUIET_MS = 3_000;
    private static final long READ_EVERY_MS = 60_000;
    /** A relay that stopped is replaced after it is suspect; the new one first reads. */
    private static final long TAKEOVER_MS = 1_100;
    /** Headers of an HTTP request and its answer, TCP and IP headers included. */
    private static final int CALL_BYTES = 500;

    private static final int STORE_MS = 4;
    private static final int MAX_STORE_EXTRA_MS = 4;

    /**
     * What a strategy costs.
     *
     * @param storeCalls calls a second, a waiting watch counted as one
     * @param crossRegionBytes bytes a second between regions
     * @param delayMs time from the write to the last VM
     */
    record Result(Strategy strategy, double storeCalls, double crossRegionBytes, Histogram delayMs) {}

    /** A VM, or the relay of a data centre, that talks to the store. */
    private static final class Follower {
        final Fleet.DataCentre dataCentre;
        final long pollOffsetMs;
        long unavailableUntilMs;

        Follower(Fleet.DataCentre dataCentre, long pollOffsetMs) {
            this.dataCentre = dataCentre;
            this.pollOffsetMs = pollOffsetMs;
        }
    }

    private final Fleet fleet;
    private final Strategy strategy;
    private final int documentBytes;
    private final UniformRandomProvider random;
    private final List<Follower> followers = new ArrayList<>();
    private final Histogram delayMs = new Histogram(DAY_MS, 3);
    private long calls;
    private long crossBytes;

    PropagationModel(Fleet fleet, Strategy strategy, int documentBytes, long seed) {
        this.fleet = fleet;
        this.strategy = strategy;
        this.documentBytes = documentBytes;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        int perDataCentre = strategy.relays() ? 1 : fleet.vmsPerDataCentre();
        for (Fleet.DataCentre dataCentre : fleet.all()) {
            for (int i = 0; i < perDataCentre; i++) {
                long offset = strategy.polls() ? random.nextLong(strategy.pollMs()) : 0;
                followers.add(new Follower(dataCentre, offset));
            }
        }
    }

    Result run() {
        long[] changes = times(CHANGES_PER_DAY);
        long[] stops = times(ENTRY_VM_STOPS_PER_DAY);
        int nextStop = 0;
        long previousMs = 0;
        for (long changeMs : changes) {
            while (nextStop < stops.length && stops[nextStop] <= changeMs) {
                stop(stops[nextStop++]);
            }
            countQuietTime(changeMs - previousMs);
            spread(changeMs);
            previousMs = changeMs;
        }
        countQuietTime(DAY_MS - previousMs);
        double seconds = DAY_MS / 1_000.0;
        return new Result(strategy, calls / seconds, crossBytes / seconds, delayMs);
    }

    private long[] times(int count) {
        long[] times = new long[count];
        Arrays.setAll(times, i -> random.nextLong(DAY_MS));
        Arrays.sort(times);
        return times;
    }

    /** A random VM stops; with a relay, one stop in four hits the relay of a data centre. */
    private void stop(long atMs) {
        boolean hitsFollower = !strategy.relays() || random.nextInt(fleet.vmsPerDataCentre()) == 0;
        if (hitsFollower) {
            Follower follower = followers.get(random.nextInt(followers.size()));
            follower.unavailableUntilMs = atMs + TAKEOVER_MS;
            call(follower, documentBytes);
        }
    }

    /** Calls without a change: polls, or renewed watches with checks and rare reads. */
    private void countQuietTime(long durationMs) {
        for (Follower follower : followers) {
            if (strategy.polls()) {
                calls(follower, durationMs / (double) strategy.pollMs(), documentBytes);
            } else {
                calls(follower, durationMs / (double) WATCH_WAIT_MS, 0);
                calls(follower, durationMs / (double) QUIET_MS, 0);
                calls(follower, durationMs / (double) READ_EVERY_MS, documentBytes);
            }
        }
    }

    private void calls(Follower follower, double expected, int bytes) {
        long count = (long) expected + (random.nextDouble() < expected - (long) expected ? 1 : 0);
        for (long i = 0; i < count; i++) {
            call(follower, bytes);
        }
    }

    private void call(Follower follower, int bytes) {
        calls++;
        if (follower.dataCentre.isRemote()) {
            crossBytes += CALL_BYTES + bytes;
        }
    }

    private void spread(long changeMs) {
        long lastMs = 0;
        for (Follower follower : followers) {
            long arrivedMs = arrival(follower, changeMs);
            long everywhereMs = strategy.relays() ? arrivedMs + Fleet.insideMs() : arrivedMs;
            lastMs = Math.max(lastMs, everywhereMs);
        }
        delayMs.recordValue(Math.max(0, lastMs - changeMs));
    }

    private long arrival(Follower follower, long changeMs) {
        long roundTripMs = 2 * follower.dataCentre.delayToStoreMs() + STORE_MS + random.nextInt(MAX_STORE_EXTRA_MS);
        if (changeMs < follower.unavailableUntilMs) {
            return follower.unavailableUntilMs + roundTripMs;
        }
        if (strategy.polls()) {
            long sinceOffset = Math.floorMod(changeMs - follower.pollOffsetMs, strategy.pollMs());
            return changeMs + strategy.pollMs() - sinceOffset + roundTripMs;
        }
        call(follower, documentBytes);
        return changeMs + follower.dataCentre.delayToStoreMs() + random.nextInt(MAX_STORE_EXTRA_MS);
    }
}
