package io.radishspindle.pool.runtime;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.PoolAction;
import io.radishspindle.pool.core.PoolLoad;
import io.radishspindle.pool.core.PoolScheduler;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Listing;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.port.WorkerControl;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * Runs one pool while this VM owns it: loads what is stored, fences earlier owners, then schedules. Belongs to one
 * event loop.
 *
 * <p>Invariant: nothing is ordered after the first sign of a newer claim.
 */
final class PoolOwner {
    /** Longest time between scheduling passes, in milliseconds. */
    private static final long TICK_MS = 50;
    /** Pause before a failed load is repeated, in milliseconds. */
    private static final long LOAD_RETRY_MS = 150;
    /** The owner hears of most jobs directly; its watch is the second way and may lag. */
    private static final long INTAKE_PAUSE_MS = 200;
    /** Ended jobs stay known for this long, in milliseconds: the platform asks for 120 s, and clients repeat late. */
    private static final long RETENTION_MS = 180_000;

    private static final int MILLI = 1_000;
    private static final int FORGET_BATCH = SharedStore.MAX_TXN_ENTRIES / 3 - 1;
    private static final int FORGET_EVERY_TICKS = 40;
    /** The load is logged every two seconds, which keeps the log of an idle owner small. */
    private static final int LOAD_EVERY_TICKS = 40;

    private final Vertx vertx;
    private final Clock clock;
    private final SharedStore store;
    private final String pool;
    private final long token;
    private final AdviceDispatcher advice;
    private final BiConsumer<String, String> onDeposed;
    private final PoolScheduler scheduler = new PoolScheduler();
    private final WorkerSessions sessions;
    private final ProgressWriter writer;
    private final PrefixWatch intake;
    private final MetricRegistry metrics;
    private final BoundedLog log;
    private final PauseDetector pauses;
    private final long claimedAtMs;
    private boolean loaded;
    private boolean closed;
    private boolean passScheduled;
    private boolean recoveryLogged;
    private long tickTimer = -1;
    private int ticks;

    /** @param onDeposed told the pool and the reason when a newer claim shows */
    PoolOwner(
            Vertx vertx,
            Clock clock,
            SharedStore store,
            WorkerControl control,
            AdviceDispatcher advice,
            MetricRegistry metrics,
            String pool,
            long token,
            BiConsumer<String, String> onDeposed) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.pool = pool;
        this.token = token;
        this.advice = advice;
        this.metrics = metrics;
        log = new BoundedLog(clock);
        this.onDeposed = onDeposed;
        claimedAtMs = clock.nowMs();
        pauses = new PauseDetector(clock);
        sessions = new WorkerSessions(vertx, clock, control, scheduler, token, log, new Sessions());
        writer = new ProgressWriter(vertx, clock, store, pool, token, scheduler, new Progress());
        intake = new PrefixWatch(
                vertx, clock, store, StoreKeys.intake(pool), INTAKE_PAUSE_MS, new Intake(), reachable -> {});
    }

    /** Begins with the given workers; jobs follow from the store. */
    void start(Collection<WorkerEntry> workers) {
        workers.forEach(this::workerListed);
        sessions.pollNew();
        load();
    }

    /** Gives up the pool without a word to the workers; their leases run on. */
    void close() {
        closed = true;
        sessions.close();
        writer.close();
        intake.close();
        vertx.cancelTimer(tickTimer);
    }

    /**
     * Stops deciding and removes the claim, so that another VM can claim the pool at once.
     *
     * @param entry this VM's entry as a draining VM, which is written together with the removal; empty if there is none
     */
    Future<Void> release(Optional<Write> entry) {
        close();
        String key = StoreKeys.owner(pool);
        Txn removal = new Txn(Map.of(key, token), entry.stream().toList(), List.of(key));
        return store.transact(removal)
                .onSuccess(result -> Logger.info(
                        "event=pool-released pool={} token={} outcome=\"{}\"",
                        pool,
                        token,
                        result.fold(Failure::message, txn -> txn.applied() ? "removed" : "replaced before")))
                .mapEmpty();
    }

    private void load() {
        if (closed) {
            return;
        }
        Future.join(store.list(StoreKeys.intake(pool)), store.list(StoreKeys.allProgress(pool)))
                .onSuccess(both -> {
                    Either<Failure, Listing> jobs = both.resultAt(0);
                    Either<Failure, Listing> progress = both.resultAt(1);
                    if (jobs.isLeft() || progress.isLeft()) {
                        vertx.setTimer(LOAD_RETRY_MS, ignored -> load());
                    } else if (!closed) {
                        onLoaded(jobs.get(), progress.get().items());
                    }
                });
    }

    private void onLoaded(Listing jobs, List<Item> progress) {
        writer.loaded(progress);
        int count = new StoredJobs(pool, jobs.items(), progress).loadInto(scheduler, clock.wallMs());
        loaded = true;
        scheduler.beginRecovery(clock.nowMs());
        Logger.info(
                "event=pool-loaded pool={} token={} jobs={} open={} took_ms={}",
                pool,
                token,
                count,
                scheduler.unfinishedJobs(),
                clock.nowMs() - claimedAtMs);
        pauses.look();
        intake.startAfter(jobs.revision());
        sessions.open();
        sessions.pollNew();
        tickTimer = vertx.setPeriodic(TICK_MS, ignored -> tick());
    }

    private void tick() {
        pass();
        ticks++;
        if (ticks % FORGET_EVERY_TICKS == 0) {
            forgetEnded();
        }
        if (ticks % LOAD_EVERY_TICKS == 0 && scheduler.unfinishedJobs() > 0) {
            logLoad();
        }
        if (!recoveryLogged && !scheduler.isRecovering(clock.nowMs())) {
            recoveryLogged = true;
            Logger.info("event=pool-recovered pool={} token={} took_ms={}", pool, token, clock.nowMs() - claimedAtMs);
        }
    }

    private void logLoad() {
        PoolLoad load = scheduler.load(clock.nowMs(), clock.wallMs());
        Logger.info(
                "event=pool-load pool={} token={} open={} workers={} usable={} cores={}/{} accelerators={}/{}"
                        + " waiting={} running={} without_tickets={} idle_channels={}",
                pool,
                token,
                scheduler.unfinishedJobs(),
                load.workers(),
                load.usable(),
                load.usedMilliCores() / MILLI,
                load.milliCores() / MILLI,
                load.usedAccelerators(),
                load.accelerators(),
                load.waitingByPriority(),
                load.runningByPriority(),
                load.withoutTickets(),
                advice.idleChannels(pool));
    }

    /** Decides soon, after everything that has arrived together. */
    private void passSoon() {
        if (!passScheduled && !closed) {
            passScheduled = true;
            vertx.runOnContext(ignored -> {
                passScheduled = false;
                pass();
            });
        }
    }

    private void pass() {
        if (closed || !loaded) {
            return;
        }
        distrustAfterPause();
        for (PoolAction action : scheduler.schedule(clock.nowMs(), clock.wallMs(), advice.channels(pool))) {
            perform(action);
        }
        writer.poke();
    }

    /** Another VM may own the pool since a pause; only answers to later holds show that this one still does. */
    private void distrustAfterPause() {
        long pauseMs = pauses.look();
        if (pauseMs > 0) {
            Logger.warn("event=owner-paused pool={} token={} pause_ms={}", pool, token, pauseMs);
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
        } else if (action instanceof PoolAction.Advise ask) {
            ask(ask);
        } else if (action instanceof PoolAction.JobEnded ended) {
            metrics.counter("pool.jobs." + ended.phase().toLowerCase(Locale.ROOT))
                    .inc();
            if (log.allows("job-ended")) {
                Logger.info(
                        "event=job-ended job={} queue={} phase={} token={} age_ms={} steps=\"{}\" reason=\"{}\"",
                        ended.jobId(),
                        ended.queue(),
                        ended.phase(),
                        token,
                        ended.ageMs(),
                        ended.timeline(),
                        ended.reason());
            }
        } else if (action instanceof PoolAction.WorkerChanged changed) {
            Logger.info(
                    "event=worker-{} worker={} pool={} reason=\"{}\"",
                    changed.change(),
                    changed.workerId(),
                    pool,
                    changed.reason());
        }
    }

    private void ask(PoolAction.Advise ask) {
        metrics.counter("pool.advice.calls").inc();
        advice.advise(pool, ask.step(), ask.workers(), ask.expectedMs()).onSuccess(result -> {
            // An occupied VM is no fault; pool-load shows how many steps wait for tickets.
            boolean failed = result.isLeft() && result.getLeft().code() != ErrorCode.OVERLOADED;
            if (failed && log.allows("advice-failed")) {
                Logger.info(
                        "event=advice-failed step={} error=\"{}\"",
                        ask.step(),
                        result.getLeft().message());
            }
            scheduler.onAdvice(ask.step(), ask.workers(), result.getOrNull(), clock.nowMs());
            passSoon();
        });
    }

    private void forgetEnded() {
        List<String> ids = scheduler.removeEnded(clock.wallMs() - RETENTION_MS, FORGET_BATCH);
        if (ids.isEmpty()) {
            return;
        }
        List<String> keys = new ArrayList<>();
        ids.forEach(id -> {
            keys.add(StoreKeys.job(pool, id));
            keys.add(StoreKeys.cancellation(pool, id));
            keys.add(StoreKeys.progress(pool, id));
        });
        store.transact(new Txn(Map.of(StoreKeys.owner(pool), token), List.of(), keys))
                .onSuccess(result -> {
                    if (result.isLeft()) {
                        // The next owner loads these jobs again and removes them then.
                        Logger.warn(
                                "event=removal-failed pool={} jobs={} error=\"{}\"",
                                pool,
                                ids.size(),
                                result.getLeft().message());
                    }
                });
    }

    void jobStored(PoolJob job) {
        if (loaded && scheduler.submit(job)) {
            passSoon();
        }
    }

    void cancelStored(String jobId) {
        if (loaded && scheduler.cancel(jobId, clock.wallMs())) {
            passSoon();
        }
    }

    void workerListed(WorkerEntry entry) {
        scheduler.onWorkerRegistered(entry, clock.nowMs());
        sessions.pollNew();
        if (loaded) {
            passSoon();
        }
    }

    void workerUnlisted(String workerId) {
        scheduler.onWorkerUnregistered(workerId);
    }

    /** Phase of a job; empty if this owner can't tell, for example while it loads. */
    Optional<JobPhase> phase(String jobId) {
        return loaded ? scheduler.phase(jobId) : Optional.empty();
    }

    /** Number of jobs of a queue without a started task; empty while this owner loads. */
    Optional<Integer> pending(String queue) {
        return loaded ? Optional.of(scheduler.pending(queue)) : Optional.empty();
    }

    int openJobs() {
        return scheduler.unfinishedJobs();
    }

    private void deposed(String reason) {
        if (!closed) {
            close();
            onDeposed.accept(pool, reason);
        }
    }

    /** Reports of workers. */
    private final class Sessions implements WorkerSessions.Listener {
        @Override
        public void beforeReport() {
            distrustAfterPause();
        }

        @Override
        public void onReport() {
            passSoon();
        }

        @Override
        public void onDeposed(String reason) {
            deposed(reason);
        }
    }

    /** Outcomes of progress writes. */
    private final class Progress implements ProgressWriter.Listener {
        @Override
        public void onDurable() {
            // The next hold of each worker carries the acknowledgement.
        }

        @Override
        public void onDeposed(String reason) {
            deposed(reason);
        }
    }

    /** Jobs and cancellations in the store. */
    private final class Intake implements PrefixWatch.Listener {
        @Override
        public void listed(List<Item> items) {
            items.forEach(this::changed);
        }

        @Override
        public void changed(Item item) {
            byte @Nullable [] value = item.value();
            if (value == null) {
                return;
            }
            if (StoreKeys.isCancellation(pool, item.key())) {
                cancelStored(StoreKeys.lastPart(item.key()));
            } else if (!scheduler.isKnown(StoreKeys.lastPart(item.key()))) {
                StoredJobs.openJob(item).ifPresent(PoolOwner.this::jobStored);
            }
        }
    }
}
