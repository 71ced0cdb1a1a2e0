package io.radishspindle.demo;

import io.radishspindle.model.JobClass;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Measures what one entry daemon costs by number of workers, peers, task starts, running tasks and requests, and
 * prints the slopes from which docs/CAPACITY.md is worked out. Single-threaded but for the load.
 */
public final class Capacity {
    private static final int FIRST_PORT = 24_000;
    private static final long READY_MS = 60_000;
    private static final int LOAD_THREADS = 8;
    private static final List<Integer> WORKERS = List.of(8, 16, 32, 64);
    private static final List<Integer> PEERS = List.of(0, 1, 3, 5);
    private static final List<Integer> RATES = List.of(0, 10, 20, 40);
    private static final List<Integer> RUNNING = List.of(0, 100, 200, 400);
    private static final List<Integer> REQUESTS = List.of(0, 50, 100, 200);
    private static final int TASKS_PER_JOB = 10;
    private static final String SUBJECT = "seoul-vm-1";

    private final AtomicInteger jobs = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final Programs programs;
    private final Http http = new Http();
    private final long warmUpMs;
    private final long measureMs;

    private Capacity(Programs programs, long warmUpMs, long measureMs) {
        this.programs = programs;
        this.warmUpMs = warmUpMs;
        this.measureMs = measureMs;
    }

    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("bench capacity")
                .build()
                .defaultHelp(true)
                .description("Measures the cost of one entry daemon and fits slopes.");
        parser.addArgument("--root").required(true).help("root of the source tree");
        parser.addArgument("--warm-up").type(Integer.class).setDefault(10).metavar("S");
        parser.addArgument("--measure").type(Integer.class).setDefault(15).metavar("S");
        try {
            Namespace options = parser.parseArgs(args);
            new Capacity(
                            Programs.under(Path.of(options.getString("root"))),
                            TimeUnit.SECONDS.toMillis(options.getInt("warm_up")),
                            TimeUnit.SECONDS.toMillis(options.getInt("measure")))
                    .run();
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        }
    }

    private void run() {
        CapacitySeries byWorkers = new CapacitySeries("workers");
        for (int workers : WORKERS) {
            try (Cluster cluster = start(1, workers)) {
                measure(cluster, byWorkers, workers);
                if (workers == WORKERS.get(WORKERS.size() - 1)) {
                    measureLoads(cluster);
                }
            }
        }
        byWorkers.print(System.out);
        CapacitySeries byPeers = new CapacitySeries("peers");
        for (int peers : PEERS) {
            try (Cluster cluster = start(1 + peers, WORKERS.get(0))) {
                measure(cluster, byPeers, peers);
            }
        }
        byPeers.print(System.out);
        System.out.println("refused calls: " + refused.get());
    }

    private void measureLoads(Cluster cluster) {
        CapacitySeries byStarts = new CapacitySeries("starts/s");
        for (int rate : RATES) {
            underLoad(
                    rate / (double) TASKS_PER_JOB, () -> submit(cluster, 200), () -> measure(cluster, byStarts, rate));
        }
        byStarts.print(System.out);
        CapacitySeries byRequests = new CapacitySeries("requests/s");
        for (int rate : REQUESTS) {
            underLoad(rate, () -> request(cluster), () -> measure(cluster, byRequests, rate));
        }
        byRequests.print(System.out);
        CapacitySeries byRunning = new CapacitySeries("running");
        int running = 0;
        for (int target : RUNNING) {
            for (; running < target; running += TASKS_PER_JOB) {
                submit(cluster, TimeUnit.HOURS.toMillis(1));
            }
            measure(cluster, byRunning, target);
        }
        byRunning.print(System.out);
    }

    private Cluster start(int entryVms, int workers) {
        ClusterPlan plan =
                new ClusterPlan(List.of(new ClusterPlan.DataCentre("seoul", "capital", entryVms, workers, 0, 4)));
        Cluster cluster = new Cluster(plan, programs, FIRST_PORT);
        EntryVm subject = cluster.entryVms().get(0);
        boolean ready = Wait.until(
                READY_MS, () -> http.get(subject.callersUrl() + "/ready").isSuccess());
        if (!ready) {
            cluster.close();
            throw new IllegalStateException(
                    "entry VM is not ready after " + READY_MS + " ms; see " + cluster.directory());
        }
        return cluster;
    }

    private void measure(Cluster cluster, CapacitySeries series, double x) {
        Wait.pause(warmUpMs);
        Process subject = cluster.children().get(SUBJECT);
        ProcessUsage before = ProcessUsage.of(subject);
        long callsBefore = storeCalls(cluster);
        Wait.pause(measureMs);
        ProcessUsage after = ProcessUsage.of(subject);
        long calls = storeCalls(cluster) - callsBefore;
        series.add(x, after.since(before), calls * 1_000.0 / measureMs);
    }

    private long storeCalls(Cluster cluster) {
        JsonObject counters = http.get(cluster.storeUrl() + "/admin/counters").json();
        return List.of("get", "put", "list", "watch", "delete").stream()
                .mapToLong(name -> counters.getLong(name, 0L))
                .sum();
    }

    /** Repeats a call at a fixed rate while something is measured. */
    private static void underLoad(double callsPerSecond, Runnable call, Runnable measured) {
        ScheduledExecutorService load = Executors.newScheduledThreadPool(LOAD_THREADS);
        try {
            if (callsPerSecond > 0) {
                long periodUs = Math.round(TimeUnit.SECONDS.toMicros(1) * LOAD_THREADS / callsPerSecond);
                for (int i = 0; i < LOAD_THREADS; i++) {
                    load.scheduleAtFixedRate(call, periodUs * i / LOAD_THREADS, periodUs, TimeUnit.MICROSECONDS);
                }
            }
            measured.run();
        } finally {
            load.shutdownNow();
        }
    }

    private void submit(Cluster cluster, long runMs) {
        JobLoad.Job job =
                JobLoad.job("capacity-" + jobs.incrementAndGet(), JobClass.BATCH, TASKS_PER_JOB, 1_000, 0, runMs);
        Http.Result result = http.call(
                "POST",
                cluster.entryVms().get(0).callersUrl() + "/jobs",
                Map.of(),
                job.body().encode());
        if (!result.isSuccess()) {
            refused.incrementAndGet();
        }
    }

    private void request(Cluster cluster) {
        Http.Result result = http.get(cluster.entryVms().get(0).callersUrl() + "/services/preview/page");
        if (!result.isSuccess()) {
            refused.incrementAndGet();
        }
    }
}
