package io.radishspindle.pool.runtime;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolAction;
import io.radishspindle.pool.core.PoolLoad;
import io.radishspindle.pool.core.PoolOptions;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobSummary;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.prediction.RunTimePredictor;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Schedules one pool while this VM owns it: loads the stored jobs, fences earlier owners at the workers, then makes
 * scheduling passes. Confined to one event loop.
 *
 * <p>Invariant: no order is sent to a worker after the first evidence of a newer claim.
 */
final class PoolOwner {
    /** Longest time between scheduling passes, in milliseconds. */
    private static final long TICK_MS = 50;
    /** Delay before a failed load is retried, in milliseconds. */
    private static final long LOAD_RETRY_MS = 150;
    /** Most jobs are reported to the owner by peer messages, so its watch of the store may lag by this much. */
    private static final long INTAKE_WATCH_PAUSE_MS = 200;

    private static final int MILLI_CORES_PER_CORE = 1_000;
    private static final int REMOVAL_INTERVAL_TICKS = 20;
    /** Every two seconds; an owner without unfinished jobs logs no load, which keeps its log small. */
    private static final int LOAD_LOG_INTERVAL_TICKS = 40;

    private final Vertx vertx;
    private final Clock clock;
    private final SharedStore store;
    private final String pool;
    private final long fencingToken;
    private final EarlierOwners earlierOwners;
    private final AdviceDispatcher advice;
    private final BiConsumer<String, String> onSuperseded;
    private final RunTimePredictor runTimes;
    private final StoredRunTimes storedRunTimes;
    private final RunTimeReport runTimeReport;
    private final SliceQuota quota;
    private final StoredRoster roster;
    private final PoolScheduler scheduler;
    private final EndedJobRemoval removal;
    private final JobRegistrar registrar;
    private final WorkerSessions sessions;
    private final ProgressWriter writer;
    private final PrefixWatch intake;
    private final PassPacer passes;
    private final PortionedTasks loading;
    private final MetricRegistry metrics;
    private final BoundedLog log;
    private final PoolEventLog events;
    private final PauseDetector pauseDetector;
    private final long claimedAtMs;
    private boolean loaded;
    private boolean closed;
    private boolean recovered;
    private boolean hasMajority;
    private long tickTimer = -1;
    private int ticks;

    /**
     * @param maxLeaseMs longest lease that a worker grants, in milliseconds
     * @param onSuperseded called with the pool and the reason once a newer claim is detected
     */
    PoolOwner(
            Vertx vertx,
            Clock clock,
            SharedStore store,
            WorkerControl control,
            AdviceDispatcher advice,
            QuotaKeeper quotas,
            MetricRegistry metrics,
            String pool,
            long fencingToken,
            EarlierOwners earlierOwners,
            RunTimePredictor runTimes,
            long maxLeaseMs,
            BiConsumer<String, String> onSuperseded) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.pool = pool;
        this.fencingToken = fencingToken;
        this.earlierOwners = earlierOwners;
        this.advice = advice;
        this.metrics = metrics;
        log = new BoundedLog(clock);
        events = new PoolEventLog(metrics, log, pool, fencingToken);
        this.onSuperseded = onSuperseded;
        this.runTimes = runTimes;
        storedRunTimes = new StoredRunTimes(clock, store, pool, fencingToken, runTimes, this::closeAsSuperseded);
        runTimeReport = new RunTimeReport(metrics, log, pool);
        claimedAtMs = clock.nowMs();
        passes = new PassPacer(vertx, clock, this::runPass);
        pauseDetector = new PauseDetector(clock);
        quota = quotas.open(pool, fencingToken, new QuotaListener());
        roster = new StoredRoster(clock, store, pool, fencingToken, new RosterListener());
        scheduler = new PoolScheduler(new PoolOptions(quota.limits(), runTimes, quotas::weight, roster, maxLeaseMs));
        removal = new EndedJobRemoval(clock, store, pool, fencingToken, scheduler);
        registrar = new JobRegistrar(vertx, store, pool, fencingToken);
        loading = new PortionedTasks(vertx, clock);
        sessions = new WorkerSessions(vertx, clock, control, scheduler, fencingToken, log, new SessionListener());
        writer = new ProgressWriter(vertx, clock, store, pool, fencingToken, scheduler, new ProgressListener());
        intake = new PrefixWatch(
                vertx,
                clock,
                store,
                StoreKeys.intake(pool),
                INTAKE_WATCH_PAUSE_MS,
                new IntakeListener(),
                answered -> {});
    }

    /** Starts polling the given workers and loads the jobs from the store. */
    void start(Collection<WorkerEntry> workers) {
        workers.forEach(this::onWorkerRegistered);
        sessions.pollNew();
        quota.update(scheduler);
        load();
    }

    /** Stops scheduling the pool without notifying the workers; the leases of their runs stay in force. */
    void close() {
        closed = true;
        loading.clear();
        registrar.close();
        sessions.close();
        passes.close();
        writer.close();
        intake.close();
        runTimeReport.close();
        quota.close();
        roster.close();
        vertx.cancelTimer(tickTimer);
    }

    /**
     * Stops scheduling and removes the claim, so that another VM can claim the pool at once.
     *
     * @param entry this VM's entry as a draining VM, which is written together with the removal; empty if there is none
     */
    Future<Void> release(Optional<Write> entry) {
        close();
        String key = StoreKeys.owner(pool);
        List<Write> writes = Stream.concat(entry.stream(), storedRunTimes.newEvidence().stream())
                .toList();
        Txn removal = new Txn(Map.of(key, fencingToken), writes, List.of(key));
        return store.transact(removal)
                .onSuccess(result -> Logger.info(
                        "event=pool-released pool={} token={} outcome=\"{}\"",
                        pool,
                        fencingToken,
                        result.fold(Failure::message, txn -> txn.applied() ? "removed" : "already superseded")))
                .mapEmpty();
    }

    private void load() {
        if (closed) {
            return;
        }
        long requestedAtMs = clock.nowMs();
        Future.join(
                        store.list(StoreKeys.intake(pool)),
                        store.list(StoreKeys.allProgress(pool)),
                        store.list(StoreKeys.workers(pool)),
                        store.list(StoreKeys.claims(pool)))
                .onSuccess(all -> {
                    Either<Failure, Listing> jobs = all.resultAt(0);
                    Either<Failure, Listing> progress = all.resultAt(1);
                    Either<Failure, Listing> workers = all.resultAt(2);
                    Either<Failure, Listing> claims = all.resultAt(3);
                    if (jobs.isLeft() || progress.isLeft() || workers.isLeft() || claims.isLeft()) {
                        vertx.setTimer(LOAD_RETRY_MS, ignored -> load());
                    } else if (!closed) {
                        earlierOwners.load(claims.get().items());
                        onListed(
                                requestedAtMs,
                                jobs.get(),
                                progress.get().items(),
                                workers.get().items());
                    }
                });
    }

    /** Loads the jobs in portions. One that is stored meanwhile is found by the watch, which follows the listing. */
    private void onListed(long requestedAtMs, Listing jobs, List<Item> progress, List<Item> workers) {
        roster.load(workers, !jobs.items().isEmpty()).forEach(scheduler::onWorkerRecorded);
        sessions.pollNew();
        writer.onLoaded(progress);
        StoredJobs stored = new StoredJobs(pool, jobs.items(), progress);
        for (int i = 0; i < stored.count(); i++) {
            loading.add(() -> stored.loadNext(scheduler, clock.wallMs()));
        }
        loading.add(() -> onLoaded(jobs.revision(), requestedAtMs, stored.count()));
    }

    private void onLoaded(long listedRevision, long listedAtMs, int count) {
        loaded = true;
        scheduler.beginRecovery(clock.nowMs());
        Logger.info(
                "event=pool-loaded pool={} token={} jobs={} open={} workers={} took_ms={}",
                pool,
                fencingToken,
                count,
                scheduler.unfinishedJobs(),
                scheduler.workerIds().size(),
                clock.nowMs() - claimedAtMs);
        pauseDetector.check();
        intake.startAfter(listedRevision, listedAtMs);
        sessions.startDelivery();
        sessions.pollNew();
        tickTimer = vertx.setPeriodic(TICK_MS, ignored -> tick());
    }

    private void tick() {
        passes.request();
        logMajority();
        ticks++;
        if (ticks % REMOVAL_INTERVAL_TICKS == 0) {
            removal.removeBatch();
        }
        if (ticks % LOAD_LOG_INTERVAL_TICKS == 0 && scheduler.unfinishedJobs() > 0) {
            logLoad();
            runTimeReport.update(runTimes.errorByQueue());
        }
        storedRunTimes.tick();
        if (!recovered) {
            earlierOwners.check().ifPresent(scheduler::onEarlierOwnersEnded);
        } else if (ticks % REMOVAL_INTERVAL_TICKS == 0) {
            earlierOwners.recordRecovery();
        }
        if (!recovered && !scheduler.isRecovering(clock.nowMs())) {
            recovered = true;
            storedRunTimes.start();
            Logger.info(
                    "event=pool-recovered pool={} token={} workers={} silent={} took_ms={}",
                    pool,
                    fencingToken,
                    scheduler.workerIds().size(),
                    scheduler.silentWorkers(),
                    clock.nowMs() - claimedAtMs);
        }
    }

    /** Two owners that have a majority at the same time would show here. */
    private void logMajority() {
        boolean majority = scheduler.hasQuorum(clock.nowMs());
        if (majority != hasMajority) {
            hasMajority = majority;
            if (log.allows("majority")) {
                Logger.info(
                        "event=majority-{} pool={} token={} workers={} silent={}",
                        majority ? "gained" : "lost",
                        pool,
                        fencingToken,
                        scheduler.workerIds().size(),
                        scheduler.silentWorkers());
            }
        }
    }

    private void logLoad() {
        PoolLoad load = scheduler.load(clock.nowMs(), clock.wallMs());
        Logger.info(
                "event=pool-load pool={} token={} open={} workers={} usable={} cores={}/{} accelerators={}/{}"
                        + " waiting={} running={} without_tickets={} idle_channels={}",
                pool,
                fencingToken,
                scheduler.unfinishedJobs(),
                load.workers(),
                load.usable(),
                load.usedMilliCores() / MILLI_CORES_PER_CORE,
                load.milliCores() / MILLI_CORES_PER_CORE,
                load.usedAccelerators(),
                load.accelerators(),
                load.waitingByPriority(),
                load.runningByPriority(),
                load.withoutTickets(),
                advice.idleChannels(pool));
    }

    /**
     * Requests a pass after an event. During recovery the tick alone makes passes: most tasks wait, and a pass for each
     * report of a worker would delay the other reports.
     */
    private void requestPass() {
        if (recovered) {
            passes.request();
        }
    }

    private void runPass() {
        if (closed || !loaded) {
            return;
        }
        checkForPause();
        for (PoolAction action : scheduler.schedule(clock.nowMs(), clock.wallMs(), advice.channels(pool))) {
            perform(action);
        }
        writer.scheduleWrite();
        quota.update(scheduler);
        roster.update(scheduler);
    }

    /**
     * Detects a pause of this process. Another VM may own the pool since then; only answers to holds sent later show
     * that this one still does.
     */
    private void checkForPause() {
        long pauseMs = pauseDetector.check();
        if (pauseMs > 0) {
            Logger.warn("event=owner-paused pool={} token={} pause_ms={}", pool, fencingToken, pauseMs);
            scheduler.invalidateEarlierAnswers(clock.nowMs());
        }
    }

    private void perform(PoolAction action) {
        if (action instanceof PoolAction.Start start) {
            metrics.counter("pool.starts").inc();
            sessions.start(start.worker(), start.order());
        } else if (action instanceof PoolAction.Stop stop) {
            metrics.counter("pool.stops").inc();
            sessions.stop(stop.worker(), stop.run(), stop.reason());
        } else if (action instanceof PoolAction.Pace pace) {
            sessions.pace(pace.worker(), pace.run(), pace.percent());
        } else if (action instanceof PoolAction.Advise request) {
            requestAdvice(request);
        } else if (action instanceof PoolAction.RunTimeObserved observed) {
            runTimeReport.log(observed);
        } else {
            events.log(action);
        }
    }

    private void requestAdvice(PoolAction.Advise request) {
        metrics.counter("pool.advice.calls").inc();
        advice.advise(pool, request.step(), request.workers(), request.expectedMs())
                .onSuccess(result -> {
                    // A busy VM is not a fault; event=pool-load shows how many steps wait for tickets.
                    boolean failed = result.isLeft() && result.getLeft().code() != ErrorCode.OVERLOADED;
                    if (failed && log.allows("advice-failed")) {
                        Logger.info(
                                "event=advice-failed step={} error=\"{}\"",
                                request.step(),
                                result.getLeft().message());
                    }
                    scheduler.onAdvice(request.step(), request.workers(), result.getOrNull(), clock.nowMs());
                    requestPass();
                });
    }

    /** @param claim claim under which the job was stored; 0 if it is unknown or there was none */
    void onJobStored(PoolJob job, long claim) {
        onClaimSeen(claim);
        if (closed || !loaded) {
            return;
        }
        if (job.hasRegisteredId()) {
            onJobRegistered(job, claim);
        } else if (!scheduler.isKnown(job.id())) {
            registrar.register(job, () -> onJobRegistered(job, claim));
        }
    }

    private void onJobRegistered(PoolJob job, long claim) {
        boolean added = claim == fencingToken
                ? scheduler.submit(job)
                : scheduler.submitInherited(job, clock.nowMs(), clock.wallMs());
        if (added) {
            requestPass();
        }
    }

    void onCancelStored(String jobId) {
        registrar.drop(jobId);
        if (loaded && scheduler.cancel(jobId, clock.wallMs())) {
            requestPass();
        }
    }

    void onWorkerRegistered(WorkerEntry entry) {
        scheduler.onWorkerRegistered(entry, clock.nowMs());
        sessions.pollNew();
        if (loaded) {
            requestPass();
        }
    }

    void onWorkerUnregistered(String workerId) {
        scheduler.onWorkerUnregistered(workerId);
    }

    /**
     * Summary of a job as of the last moments; empty if it is unknown, or if this owner may have been replaced since.
     */
    Optional<JobSummary> currentSummary(String jobId) {
        return scheduler.hasQuorum(clock.nowMs()) ? summary(jobId) : Optional.empty();
    }

    /** Summary of a job; empty if it is unknown to this owner, for example while it loads. */
    Optional<JobSummary> summary(String jobId) {
        Optional<JobPhase> phase = loaded ? scheduler.phase(jobId) : Optional.empty();
        return phase.map(
                known -> new JobSummary(known, scheduler.tenantOf(jobId).orElse(null)));
    }

    /**
     * Number of jobs of a queue without a started task, as of the last time that this owner knew all accepted jobs;
     * empty while it loads, and once that was too long ago because the store is unavailable or this VM was paused.
     */
    Optional<PendingCount> pending(String queue, @Nullable String address) {
        if (!loaded) {
            return Optional.empty();
        }
        return Optional.of(new PendingCount(scheduler.pending(queue, address), intake.lastSuccessMs()))
                .filter(pending -> pending.isCurrent(clock.nowMs()));
    }

    int unfinishedJobs() {
        return scheduler.unfinishedJobs();
    }

    String pool() {
        return pool;
    }

    /** A claim of this revision has been in force. */
    void onClaimSeen(long revision) {
        if (revision > fencingToken) {
            closeAsSuperseded("the pool has a claim of revision " + revision);
        }
    }

    private void closeAsSuperseded(String reason) {
        if (!closed) {
            close();
            onSuperseded.accept(pool, reason);
        }
    }

    /** Reacts to the reports of workers. */
    private final class SessionListener implements WorkerSessions.Listener {
        @Override
        public void beforeReport() {
            checkForPause();
        }

        @Override
        public void onReport() {
            requestPass();
        }

        @Override
        public void onLateReply() {
            metrics.counter("pool.holds.late").inc();
        }

        @Override
        public void onSuperseded(String reason) {
            closeAsSuperseded(reason);
        }
    }

    /** Reacts to the outcomes of progress writes. */
    private final class ProgressListener implements ProgressWriter.Listener {
        @Override
        public void onDurable() {
            // Nothing to do: the next hold of each worker carries the acknowledgement.
        }

        @Override
        public void onSuperseded(String reason) {
            closeAsSuperseded(reason);
        }
    }

    /** Reacts to the writes that record workers. */
    private final class RosterListener implements StoredRoster.Listener {
        @Override
        public void onRecorded() {
            passes.request();
        }

        @Override
        public void onSuperseded(String reason) {
            closeAsSuperseded(reason);
        }
    }

    /** Reacts to changes of the slice's shares in the tenants' quotas. */
    private final class QuotaListener implements SliceQuota.Listener {
        @Override
        public void onSharesChanged() {
            requestPass();
        }

        @Override
        public void onSuperseded(String reason) {
            closeAsSuperseded(reason);
        }
    }

    /** Reacts to new jobs and cancellations in the store. */
    private final class IntakeListener implements PrefixWatch.Listener {
        @Override
        public void onListed(List<Item> items) {
            items.forEach(this::onChanged);
        }

        @Override
        public void onChanged(Item item) {
            byte @Nullable [] value = item.value();
            if (value == null) {
                return;
            }
            if (StoreKeys.isCancellation(pool, item.key())) {
                onCancelStored(StoreKeys.lastPart(item.key()));
            } else if (!scheduler.isKnown(StoreKeys.lastPart(item.key()))) {
                long claim = Records.claimOfJob(item.key(), value);
                StoredJobs.unfinishedJob(item).ifPresent(job -> onJobStored(job, claim));
            }
        }
    }
}
