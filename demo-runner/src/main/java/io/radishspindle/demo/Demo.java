package io.radishspindle.demo;

import io.radishspindle.platform.VmList.Vm;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Starts the whole system on loopback, loads it, kills an entry VM and a worker, and checks the outcome against the
 * records of workers and endpoints. One instance serves one run and is used by one thread.
 */
public final class Demo {
    private static final long READY_LIMIT_MS = 60_000;
    private static final long FINISH_LIMIT_MS = 60_000;
    private static final long KILL_LIMIT_MS = 10_000;
    private static final int SUBMITTERS = 8;
    private static final int REQUEST_THREADS = 16;

    private final Cluster cluster;
    private final List<JobLoad.Job> load;
    private final int requestCount;
    private final JobDriver jobs;
    private final RequestDriver requests;

    private Demo(Cluster cluster, Namespace options) {
        long seed = options.getLong("seed");
        this.cluster = cluster;
        this.load = JobLoad.mixed(seed, options.getInt("jobs"));
        this.requestCount = options.getInt("requests");
        this.jobs = new JobDriver(cluster.entryVms(), seed);
        this.requests = new RequestDriver(cluster.entryVms(), seed, REQUEST_THREADS);
    }

    /** Starts the program. */
    public static void main(String[] args) {
        ArgumentParser parser = parser();
        try {
            System.exit(run(parser.parseArgs(args)) ? 0 : 1);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        } catch (IllegalArgumentException | IllegalStateException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(1);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("demo")
                .build()
                .defaultHelp(true)
                .description("Starts the whole system on loopback, kills an entry VM and a worker under load, "
                        + "and checks that no work was lost or doubled.");
        parser.addArgument("--keep")
                .action(Arguments.storeTrue())
                .help("leave the system running until Ctrl-C, without load");
        parser.addArgument("--seed").type(Long.class).setDefault(1L).help("seed of the load");
        parser.addArgument("--first-port")
                .type(Integer.class)
                .choices(Arguments.range(1_024, 65_000))
                .metavar("PORT")
                .setDefault(17_600)
                .help("ports are taken in order from here; busy ones are skipped");
        parser.addArgument("--jobs").type(Integer.class).setDefault(60).help("number of batch jobs");
        parser.addArgument("--requests").type(Integer.class).setDefault(600).help("number of requests");
        parser.addArgument("--root").setDefault(".").help("root of the source tree, where the programs were built");
        return parser;
    }

    private static boolean run(Namespace options) {
        Programs programs = Programs.under(Path.of(options.getString("root")));
        try (Cluster cluster = new Cluster(ClusterPlan.full(), programs, options.getInt("first_port"))) {
            System.out.println("logs and histories: " + cluster.directory());
            awaitReady(cluster);
            if (options.getBoolean("keep")) {
                keep(cluster);
            }
            boolean held = new Demo(cluster, options).runLoad();
            if (held) {
                cluster.deleteDirectoryAtClose();
            }
            return held;
        }
    }

    private static void awaitReady(Cluster cluster) {
        Http http = new Http();
        for (EntryVm vm : cluster.entryVms()) {
            boolean ready = Wait.until(
                    READY_LIMIT_MS,
                    () -> isReady(http, vm) || !cluster.children().ended().isEmpty());
            if (!ready || !isReady(http, vm)) {
                throw new IllegalStateException(vm.id() + " is not ready; ended processes: "
                        + cluster.children().ended() + "; logs: " + cluster.directory());
            }
        }
        System.out.println(cluster.entryVms().size() + " entry VMs are ready");
    }

    private static boolean isReady(Http http, EntryVm vm) {
        return http.get(vm.operatorsUrl() + "/ready").status() == 200;
    }

    private static void keep(Cluster cluster) {
        cluster.entryVms()
                .forEach(vm -> System.out.printf(
                        "entry VM %-14s callers %s operators %s%n", vm.id(), vm.callersUrl(), vm.operatorsUrl()));
        cluster.platformVms()
                .forEach(vm -> System.out.printf(
                        "%s %-22s http://%s:%d%n",
                        vm.kind().name().toLowerCase(Locale.ROOT), vm.id(), vm.host(), vm.port()));
        System.out.println("store " + cluster.storeUrl() + ", VM list " + cluster.vmListUrl());
        System.out.println("press Ctrl-C to end");
        while (true) {
            Wait.pause(READY_LIMIT_MS);
        }
    }

    private boolean runLoad() {
        ExecutorService submitters = Executors.newFixedThreadPool(SUBMITTERS);
        try (requests) {
            int half = load.size() / 2;
            List<Future<?>> first = submit(submitters, load.subList(0, half));
            List<Future<?>> sent = requests.send(0, requestCount / 2);
            awaitAll(first);
            killSome();
            List<Future<?>> second = submit(submitters, load.subList(half, load.size()));
            List<Future<?>> sentLater = requests.send(requestCount / 2, requestCount);
            awaitAll(second);
            awaitAll(sent);
            awaitAll(sentLater);
            Set<JobDriver.Accepted> done = awaitJobs();
            cancelServices(done);
            return report(done);
        } finally {
            submitters.shutdownNow();
        }
    }

    private List<Future<?>> submit(ExecutorService submitters, List<JobLoad.Job> part) {
        return part.stream()
                .<Future<?>>map(job -> submitters.submit(() -> jobs.submit(job)))
                .toList();
    }

    /** Kills a worker while tasks run on it, and the entry VM that owns a group of the same data centre. */
    private void killSome() {
        Vm worker = cluster.platformVms().get(0);
        long sinceMs = System.currentTimeMillis();
        Wait.until(KILL_LIMIT_MS, () -> WorkerHistories.of(cluster).attemptsOn(worker.id(), sinceMs) > 0);
        String owner = GroupOwners.read(new Http(), cluster).entrySet().stream()
                .filter(group -> group.getKey().startsWith(worker.dataCentre() + "/"))
                .map(Map.Entry::getValue)
                .findFirst()
                .orElseThrow(() -> new IllegalStateException("no group of " + worker.dataCentre() + " has an owner"));
        System.out.println("killing entry VM " + owner + ", which owns a group, and worker " + worker.id());
        cluster.children().kill(owner);
        cluster.killWorker(worker.id());
    }

    private Set<JobDriver.Accepted> awaitJobs() {
        Set<JobDriver.Accepted> done = ConcurrentHashMap.newKeySet();
        Wait.until(FINISH_LIMIT_MS, () -> {
            jobs.accepted().stream()
                    .filter(job -> !done.contains(job) && jobs.isDone(job))
                    .forEach(done::add);
            return done.size() == jobs.accepted().size();
        });
        return done;
    }

    private void cancelServices(Set<JobDriver.Accepted> done) {
        for (JobDriver.Accepted service : jobs.services()) {
            if (!Wait.until(KILL_LIMIT_MS, () -> jobs.cancel(service))) {
                done.remove(service);
            }
        }
    }

    private boolean report(Set<JobDriver.Accepted> done) {
        Outcome outcome = new Outcome();
        outcome.checkJobs(load, jobs, done, WorkerHistories.of(cluster));
        outcome.checkRequests(requestCount, requests, EndpointHistories.of(cluster));
        Report.print(System.out, outcome, jobs, requests);
        return outcome.problems.isEmpty();
    }

    private static void awaitAll(List<Future<?>> running) {
        for (Future<?> future : running) {
            try {
                future.get(FINISH_LIMIT_MS, TimeUnit.MILLISECONDS);
            } catch (Exception e) {
                throw new IllegalStateException("the load did not end: " + e, e);
            }
        }
    }
}
