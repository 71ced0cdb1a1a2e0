package io.radishspindle.bench.config;

import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * Compares ways to spread the fleet configuration at the two-year size: store calls, bytes across regions and the
 * time until a change is in force everywhere. Holds no state.
 */
public final class ConfigPropagation {
    private static final long DEFAULT_SEED = 20261204;

    private ConfigPropagation() {}

    /** Starts the program; the only argument is the seed. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : DEFAULT_SEED;
        System.out.print(report(seed));
    }

    /** The comparison as a Markdown table. */
    public static String report(long seed) {
        int bytes = DocumentSize.bytes();
        StringBuilder report = new StringBuilder(String.format(
                Locale.ROOT,
                "seed %d, %d VMs, %d changes a day, document of %d bytes%n%n"
                        + "| strategy | store calls/s | bytes/s across regions |"
                        + " in force everywhere: p50 | p99.9 | max |%n"
                        + "| --- | --- | --- | --- | --- | --- |%n",
                seed,
                Fleet.TWO_YEARS.vms(),
                PropagationModel.CHANGES_PER_DAY,
                bytes));
        for (Strategy strategy : Strategy.values()) {
            PropagationModel.Result result = new PropagationModel(Fleet.TWO_YEARS, strategy, bytes, seed).run();
            report.append(line(result));
        }
        return report.toString();
    }

    private static String line(PropagationModel.Result result) {
        Histogram delay = result.delayMs();
        return String.format(
                Locale.ROOT,
                "| %s | %.2f | %.0f | %d ms | %d ms | %d ms |%n",
                result.strategy().description(),
                result.storeCalls(),
                result.crossRegionBytes(),
                delay.getValueAtPercentile(50),
                delay.getValueAtPercentile(99.9),
                delay.getMaxValue());
    }
}
