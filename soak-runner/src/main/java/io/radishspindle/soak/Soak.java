package io.radishspindle.soak;

import io.radishspindle.placement.FairSharePlacement;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementPolicy;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Entry point; holds no state. */
public final class Soak {
    private static final long MS_PER_HOUR = 3_600_000;

    private Soak() {}

    /** Starts the program. */
    public static void main(String[] args) {
        ArgumentParser parser = parser();
        try {
            System.exit(run(parser.parseArgs(args)));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        } catch (IllegalArgumentException e) {
            System.err.println("soak: unknown fault or mechanism: " + e.getMessage());
            System.exit(2);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("soak")
                .build()
                .defaultHelp(true)
                .description("Runs the ownership, journal and placement cores of one data centre in virtual time under"
                        + " faults, and checks the histories of workers and submitters.");
        parser.addArgument("--seeds").type(Integer.class).setDefault(20).help("number of seeds");
        parser.addArgument("--from").type(Long.class).setDefault(1L).help("first seed");
        parser.addArgument("--hours").type(Double.class).setDefault(0.1).help("simulated hours with faults per seed");
        parser.addArgument("--faults")
                .setDefault("all")
                .help("comma-separated faults, all or none: " + titles(Fault.values()));
        parser.addArgument("--without")
                .setDefault("none")
                .help("comma-separated safety mechanisms to turn off: " + Mechanism.titles());
        parser.addArgument("--placement")
                .choices("fair", "first-fit")
                .setDefault("fair")
                .help("placement core: the product's, or the simplest one that obeys its contract");
        parser.addArgument("--trace").setDefault("").help("print the events that contain this text, for example w3");
        return parser;
    }

    private static String titles(Fault[] faults) {
        return Arrays.stream(faults).map(Fault::title).collect(Collectors.joining(", "));
    }

    private static int run(Namespace options) {
        String faultTitles = options.getString("faults");
        String without = options.getString("without");
        List<Fault> faults = faults(faultTitles);
        Set<Mechanism> off = EnumSet.noneOf(Mechanism.class);
        if (!without.equals("none")) {
            Arrays.stream(without.split(",")).map(Mechanism::of).forEach(off::add);
        }
        double hours = options.getDouble("hours");
        long from = options.getLong("from");
        int seeds = options.getInt("seeds");
        int failed = 0;
        Map<String, Long> totals = new TreeMap<>();
        for (long seed = from; seed < from + seeds; seed++) {
            SoakRun.Result result = SoakRun.run(new SoakRun.Plan(
                    seed,
                    (long) (hours * MS_PER_HOUR),
                    faults,
                    off,
                    placements(options.getString("placement")),
                    options.getString("trace")));
            result.counts().forEach((name, count) -> totals.merge(name, count, Long::sum));
            if (!result.passed()) {
                failed++;
                print(
                        result,
                        "./soak --seeds 1 --from " + seed + " --hours " + hours + " --faults " + faultTitles
                                + " --without " + without + " --placement " + options.getString("placement"));
            }
        }
        totals.forEach((name, count) -> System.out.println(name + "=" + count));
        System.out.println("seeds=" + seeds + " failed=" + failed);
        return failed == 0 ? 0 : 1;
    }

    static LongFunction<GroupPlacement> placements(String name) {
        return name.equals("fair")
                ? seed -> new FairSharePlacement(seed, PlacementPolicy.DEFAULT)
                : seed -> new FirstFitPlacement();
    }

    private static List<Fault> faults(String titles) {
        return switch (titles) {
            case "all" -> List.of(Fault.values());
            case "none" -> List.of();
            default -> Fault.parse(titles);
        };
    }

    private static void print(SoakRun.Result result, String command) {
        System.out.println("FAILED seed=" + result.seed());
        result.breaches().stream().limit(10).forEach(breach -> System.out.println("  breach " + breach));
        System.out.println("  faults:");
        result.schedule().forEach(line -> System.out.println("    " + line));
        System.out.println("  last events:");
        result.lastLines().forEach(line -> System.out.println("    " + line));
        System.out.println("  replay: " + command);
    }
}
