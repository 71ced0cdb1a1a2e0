package io.radishspindle.bench;

import io.radishspindle.model.JobClass;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Prints the figures of a replay and collects them as lines of a CSV file. Not thread-safe. */
final class Report {
    static final String CSV_HEADER = "scenario,policy,metric,class,value";
    private static final double[] PERCENTILES = {50, 95, 99, 99.9, 100};

    private final PrintStream out;
    private final List<String> csv = new ArrayList<>(List.of(CSV_HEADER));

    Report(PrintStream out) {
        this.out = out;
    }

    List<String> csv() {
        return List.copyOf(csv);
    }

    void print(Scenario scenario, Contender contender, ReplayStats stats) {
        out.printf(
                Locale.ROOT,
                "%n%s, %s: %d groups, %d s of virtual time, load %.2f, backlog %d per group%n",
                scenario.name(),
                contender.label,
                scenario.groups(),
                scenario.durationMs() / 1_000,
                scenario.load(),
                scenario.backlogTasks());
        out.printf("  %-12s %9s %10s %10s %10s %10s %10s%n", "wait, ms", "tasks", "p50", "p95", "p99", "p99.9", "max");
        for (JobClass jobClass : JobClass.values()) {
            printWaits(scenario, contender, jobClass, stats.waits(jobClass));
        }
        printPacking(scenario, contender, stats);
        printCost(scenario, contender, stats);
    }

    private void printWaits(Scenario scenario, Contender contender, JobClass jobClass, Histogram waits) {
        StringBuilder line = new StringBuilder();
        line.append(String.format(Locale.ROOT, "  %-12s %9d", jobClass, waits.getTotalCount()));
        for (double percentile : PERCENTILES) {
            long value = waits.getValueAtPercentile(percentile);
            line.append(String.format(Locale.ROOT, " %10d", value));
            row(scenario, contender, "wait_ms_p" + percentile, jobClass.name(), value);
        }
        out.println(line);
    }

    private void printPacking(Scenario scenario, Contender contender, ReplayStats stats) {
        out.printf(
                Locale.ROOT,
                "  packing while work waits: processors %.3f, memory %.3f, accelerators %.3f; overfilled %.4f%n",
                stats.packing(0),
                stats.packing(1),
                stats.packing(2),
                stats.overfilledPart());
        row(scenario, contender, "packing", "processors", stats.packing(0));
        row(scenario, contender, "packing", "memory", stats.packing(1));
        row(scenario, contender, "packing", "accelerators", stats.packing(2));
        row(scenario, contender, "overfilled_part", "", stats.overfilledPart());
    }

    private void printCost(Scenario scenario, Contender contender, ReplayStats stats) {
        Histogram calls = stats.decisionNs;
        out.printf(
                Locale.ROOT,
                "  %d starts, %.0f decisions/s; call with a start, us: p50 %.1f p99 %.1f p99.9 %.1f max %.1f%n",
                stats.decisions,
                stats.decisionsPerSecond(),
                calls.getValueAtPercentile(50) / 1e3,
                calls.getValueAtPercentile(99) / 1e3,
                calls.getValueAtPercentile(99.9) / 1e3,
                calls.getMaxValue() / 1e3);
        out.printf(
                "  never started %d, stopped %d (%d to give back), out of memory %d, given up %d, quarantines %d%n",
                stats.unstarted,
                stats.stoppedForOthers,
                stats.reclaimed,
                stats.outOfMemory,
                stats.failedTasks,
                stats.quarantines);
        row(scenario, contender, "decisions_per_s", "", stats.decisionsPerSecond());
        row(scenario, contender, "call_us_p99", "", calls.getValueAtPercentile(99) / 1e3);
        row(scenario, contender, "never_started", "", stats.unstarted);
        row(scenario, contender, "stopped_for_others", "", stats.stoppedForOthers);
        row(scenario, contender, "out_of_memory", "", stats.outOfMemory);
    }

    private void row(Scenario scenario, Contender contender, String metric, String part, double value) {
        csv.add(String.format(
                Locale.ROOT, "%s,\"%s\",%s,%s,%.4f", scenario.name(), contender.label, metric, part, value));
    }
}
