package io.radishspindle.soak;

import com.codahale.metrics.Counter;
import io.radishspindle.placement.GroupPlacement;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongFunction;

/** One run of one seed. Holds no state; the same arguments always give the same result. */
final class SoakRun {
    /** Quiet time at the end in which all accepted jobs must finish. */
    private static final long SETTLE_MS = 150_000;

    private static final int VMS = 4;
    private static final int WORKERS = 12;

    /**
     * What a run needs.
     *
     * @param faultMs simulated time with faults; a quiet time follows
     * @param traced events that contain this text are printed; empty for none
     */
    record Plan(
            long seed,
            long faultMs,
            List<Fault> faults,
            Set<Mechanism> off,
            LongFunction<GroupPlacement> placements,
            String traced) {}

    /** Outcome of a run. */
    record Result(
            long seed,
            List<HistoryChecker.Breach> breaches,
            List<String> schedule,
            List<String> lastLines,
            Map<String, Long> counts) {
        boolean passed() {
            return breaches.isEmpty();
        }
    }

    private SoakRun() {}

    static Result run(Plan plan) {
        Simulation sim = new Simulation(plan.seed(), plan.traced());
        Cell cell = new Cell(sim, plan.off(), VMS, WORKERS, plan.placements());
        FaultInjector injector = new FaultInjector(cell, plan.faults(), plan.faultMs());
        injector.start();
        sim.runUntil(plan.faultMs());
        cell.stopSubmitting();
        sim.runUntil(plan.faultMs() + SETTLE_MS);
        cell.recordPhases();
        List<String> lines = new ArrayList<>();
        sim.lastLines().forEach(lines::add);
        return new Result(plan.seed(), HistoryChecker.check(cell.history), injector.schedule(), lines, counts(cell));
    }

    private static Map<String, Long> counts(Cell cell) {
        Map<String, Long> counts = new TreeMap<>();
        for (Map.Entry<String, Counter> counter : cell.metrics.getCounters().entrySet()) {
            counts.put(counter.getKey(), counter.getValue().getCount());
        }
        for (HistoryEvent event : cell.history) {
            String name = event instanceof HistoryEvent.Answered answered
                    ? "jobs." + answered.verdict()
                    : "history." + event.getClass().getSimpleName();
            counts.merge(name, 1L, Long::sum);
        }
        return counts;
    }
}
