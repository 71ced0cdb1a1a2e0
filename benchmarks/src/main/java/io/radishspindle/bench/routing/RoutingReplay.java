package io.radishspindle.bench.routing;

import io.radishspindle.routing.RequestClass;
import io.radishspindle.routing.RoutingOptions;
import io.radishspindle.routing.Safeguard;
import io.radishspindle.settings.EntrySettings;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Replays a burst of one caller beside the requests of others through the routing core and its baselines, and prints
 * waiting times. The same seed prints the same figures. Holds no state.
 */
public final class RoutingReplay {
    private static final List<String> VM_DATA_CENTRES = List.of("dc1", "dc1", "dc1", "dc2", "dc2", "dc2", "dc3", "dc3");
    private static final int EXECUTORS_PER_DATA_CENTRE = 8;
    private static final Map<String, String> REGIONS = Map.of("dc1", "r1", "dc2", "r1", "dc3", "r2");

    private RoutingReplay() {}

    /** Starts the program. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("routing-replay").build().defaultHelp(true);
        parser.description("Replays generated requests in virtual time and compares ways to route them.");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the requests");
        parser.addArgument("--seconds").type(Long.class).setDefault(60L).help("length in virtual time");
        parser.addArgument("--burst-class")
                .choices("interactive", "normal", "bulk")
                .setDefault("bulk")
                .help("class that the caller of the burst claims");
        try {
            run(parser.parseArgs(args));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        }
    }

    private static void run(Namespace options) {
        long seed = options.getLong("seed");
        long durationMs = options.getLong("seconds") * 1_000;
        RequestClass burstClass =
                RequestClass.valueOf(options.getString("burst_class").toUpperCase(Locale.ROOT));
        List<Arrival> arrivals = ArrivalGenerator.generate(seed, VM_DATA_CENTRES.size(), durationMs, burstClass);
        System.out.printf(
                Locale.ROOT,
                "seed=%d requests=%d seconds=%d burst=%s; wait in ms%n%-22s %-12s %8s %6s %6s %6s %7s %7s %8s%n",
                seed,
                arrivals.size(),
                durationMs / 1_000,
                burstClass.wireName(),
                "router",
                "class",
                "started",
                "p50",
                "p95",
                "p99",
                "p99.9",
                "max",
                "refused");
        routers(seed).forEach((name, factory) -> {
            ReplayWorld world = world();
            world.replay(arrivals, factory.apply(world), durationMs);
            System.out.print(world.figures.table(name));
        });
    }

    private static Map<String, Function<ReplayWorld, RequestRouter>> routers(long seed) {
        UniformRandomProvider random = RandomSource.SPLIT_MIX_64.create(seed);
        RoutingOptions all = options(EnumSet.allOf(Safeguard.class));
        RoutingOptions oneQueue = all.without(Safeguard.CLASS_WEIGHTS).without(Safeguard.CALLER_FAIRNESS);
        Map<String, Function<ReplayWorld, RequestRouter>> routers = new LinkedHashMap<>();
        routers.put("random", world -> new OwnViewRouter(world, () -> ExecutorChoice.random(random)));
        routers.put("round-robin", world -> new OwnViewRouter(world, ExecutorChoice::roundRobin));
        routers.put(
                "least-connections", world -> new OwnViewRouter(world, () -> ExecutorChoice.leastConnections(random)));
        routers.put("core, one queue", world -> new CoreRouter(world, oneQueue, seed));
        routers.put("core, shared slots", world -> new CoreRouter(world, all.without(Safeguard.SLOT_SPLIT), seed));
        RoutingOptions noReserve = all.without(Safeguard.RESERVED_SLOTS);
        routers.put("core, no reserve", world -> new CoreRouter(world, noReserve, seed));
        routers.put("core", world -> new CoreRouter(world, all, seed));
        return routers;
    }

    private static RoutingOptions options(EnumSet<Safeguard> safeguards) {
        EntrySettings.Routing routing =
                new EntrySettings.Routing(10_000, 60_000, 1_000, 200, 1_000_000, 3, 0.1, 50, 1_000, 30_000);
        return new RoutingOptions(routing, REGIONS, safeguards);
    }

    private static ReplayWorld world() {
        List<String> executors = new ArrayList<>();
        for (String dataCentre : List.of("dc1", "dc2", "dc3")) {
            for (int i = 0; i < EXECUTORS_PER_DATA_CENTRE; i++) {
                executors.add(dataCentre);
            }
        }
        return new ReplayWorld(executors, VM_DATA_CENTRES);
    }
}
