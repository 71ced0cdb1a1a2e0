package io.radishspindle.bench;

import io.radishspindle.model.JobClass;
import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;

/** Compares a replay with the decision targets of docs/design.md and says by how much one is missed. Immutable. */
final class Targets {
    private static final double MIN_DECISIONS_PER_SECOND = 4_000;
    private static final double MAX_CALL_US = 5_000;
    private static final double MAX_URGENT_WAIT_MS = 1_700;
    private static final double MIN_PACKING_PART = 0.95;
    private static final String[] RESOURCES = {"processors", "memory", "accelerators"};

    private final PrintStream out;

    Targets(PrintStream out) {
        this.out = out;
    }

    void print(Scenario scenario, Map<Contender, ReplayStats> results) {
        ReplayStats own = require(results, Contender.FAIR_SHARE);
        ReplayStats first = require(results, Contender.FIRST_COME);
        ReplayStats fit = require(results, Contender.BEST_FIT);
        out.printf("%ntargets, %s:%n", scenario.name());
        atLeast("decisions/s", own.decisionsPerSecond(), MIN_DECISIONS_PER_SECOND);
        atMost("p99 of a call with a start, us", own.decisionNs.getValueAtPercentile(99) / 1e3, MAX_CALL_US);
        double urgent = own.waits(JobClass.URGENT).getValueAtPercentile(99.9);
        atMost("urgent p99.9 wait, ms", urgent, MAX_URGENT_WAIT_MS);
        for (JobClass jobClass : JobClass.values()) {
            double limit = first.waits(jobClass).getValueAtPercentile(99);
            double value = own.waits(jobClass).getValueAtPercentile(99);
            atMost(jobClass + " p99 wait against first-come, ms", value, limit);
        }
        for (int i = 0; i < RESOURCES.length; i++) {
            double best = Math.max(first.packing(i), fit.packing(i));
            atLeast("packing of " + RESOURCES[i], own.packing(i), MIN_PACKING_PART * best);
        }
    }

    private static ReplayStats require(Map<Contender, ReplayStats> results, Contender contender) {
        ReplayStats stats = results.get(contender);
        if (stats == null) {
            throw new IllegalStateException("no result of " + contender);
        }
        return stats;
    }

    private void atLeast(String what, double value, double limit) {
        line(what, value, limit, ">=", value >= limit);
    }

    private void atMost(String what, double value, double limit) {
        line(what, value, limit, "<=", value <= limit);
    }

    private void line(String what, double value, double limit, String relation, boolean met) {
        double off = limit == 0 ? 0 : 100 * Math.abs(value - limit) / limit;
        String verdict = met ? "met" : String.format(Locale.ROOT, "MISSED by %.1f%%", off);
        out.printf(Locale.ROOT, "  %-45s %12.3f %s %12.3f  %s%n", what, value, relation, limit, verdict);
    }
}
