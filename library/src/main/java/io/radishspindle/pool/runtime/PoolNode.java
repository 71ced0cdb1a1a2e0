package io.radishspindle.pool.runtime;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.model.Caller;
import io.radishspindle.pool.model.CancelOutcome;
import io.radishspindle.pool.model.JobSummary;
import io.radishspindle.pool.model.PoolConfig;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.QueuePolicy;
import io.radishspindle.pool.port.AdviceService;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.port.WorkerControl;
import io.radishspindle.pool.prediction.RunTimes;
import io.radishspindle.pool.runtime.ControlView.Ownership;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.TcpPeerMessenger;
import io.radishspindle.protocol.message.EmptyReply;
import io.radishspindle.protocol.message.PoolMessages.AdviceReply;
import io.radishspindle.protocol.message.PoolMessages.CancelStored;
import io.radishspindle.protocol.message.PoolMessages.JobStored;
import io.radishspindle.protocol.message.PoolMessages.PendingJobs;
import io.radishspindle.protocol.message.PoolMessages.PoolJobState;
import io.radishspindle.protocol.message.PoolMessages.PoolPing;
import io.radishspindle.protocol.message.PoolMessages.PoolPong;
import io.radishspindle.protocol.message.PoolMessages.QueryConfig;
import io.radishspindle.protocol.message.PoolMessages.QueryPending;
import io.radishspindle.protocol.message.PoolMessages.QueryPoolJob;
import io.radishspindle.protocol.message.PoolMessages.RelayStore;
import io.radishspindle.protocol.message.PoolMessages.RequestAdvice;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * An entry VM: accepts jobs for all pools and schedules the pools that it owns. Confined to the event loop on which it
 * was created.
 *
 * <p>Invariant: the version of the configuration in force never decreases.
 */
public final class PoolNode {
    /** Short beside the silence for which an owner is superseded; each tick wakes a VM that may have nothing to do. */
    private static final long ELECTION_TICK_MS = 100;
    /** Pause between watches of the worker entries, in milliseconds; batches several changes into one call. */
    private static final long WORKER_WATCH_PAUSE_MS = 100;

    private final Vertx vertx;
    private final Clock clock;
    private final RelayedStore store;
    private final PlatformCodec codec;
    private final WorkerControl control;
    private final NodeIdentity self;
    private final MetricRegistry metrics;
    private final RunTimes runTimes;
    private final long maxLeaseMs;
    private final TcpPeerMessenger messenger;
    private final ControlView view;
    private final PoolSlices slices;
    private final SliceSizing sizing;
    private final NodeLease lease;
    private final OwnerElection election;
    private final AdviceChannel channel;
    private final AdviceDispatcher advice;
    private final JobIntake intake;
    private final JobDirectory directory;
    private final ConfigRelay configRelay;
    private final PrefixWatch configWatch;
    private @Nullable PrefixWatch workerWatch;
    private final PrefixWatch controlWatch;
    private final Map<String, PoolOwner> owned = new HashMap<>();
    private final RegisteredWorkers workers;
    private final QuotaKeeper quotas;
    private @Nullable PoolConfig config;
    private boolean draining;

    /**
     * Creates the node without connecting anything; see {@link #start}.
     *
     * @param maxLeaseMs longest lease that a worker grants, in milliseconds
     */
    public PoolNode(
            Vertx vertx,
            Clock clock,
            SharedStore platformStore,
            PlatformCodec codec,
            WorkerControl control,
            AdviceService adviceService,
            NodeIdentity self,
            MetricRegistry metrics,
            RunTimes runTimes,
            long maxLeaseMs) {
        this.vertx = vertx;
        this.clock = clock;
        this.codec = codec;
        this.control = control;
        this.self = self;
        this.metrics = metrics;
        this.runTimes = runTimes;
        this.maxLeaseMs = maxLeaseMs;
        view = new ControlView(clock);
        slices = new PoolSlices(view);
        // Every VM of the deployment can reach the store, so a constant key is enough to reject stray connections.
        messenger =
                new TcpPeerMessenger(vertx, clock, self.vmId(), self.host(), self.peerPort(), "radishspindle", view);
        store = new RelayedStore(clock, platformStore, messenger, this::otherVms);
        sizing = new SliceSizing(clock, store, codec, view, self);
        lease = new NodeLease(vertx, store, self);
        election = new OwnerElection(clock, store, view, self, lease, messenger, this::onClaimed);
        channel = new AdviceChannel(clock, adviceService);
        advice = new AdviceDispatcher(clock, channel, messenger, self, view, this::sliceNames);
        intake = new JobIntake(
                vertx, clock, store, view, slices, this::notifyOwner, store::isDirectPathDown, store::retryAfterMs);
        directory = new JobDirectory(clock, store, new JobLocator(store, slices), messenger, view, self, owned);
        configRelay = new ConfigRelay(
                vertx,
                clock,
                store,
                messenger,
                view,
                self,
                RandomSource.XO_RO_SHI_RO_128_PP.create((self.vmId() + "/" + self.boot()).hashCode()));
        workers = new RegisteredWorkers(codec, slices, this::ownerOf);
        quotas = new QuotaKeeper(vertx, clock, store, store, this::config, this::sliceNames, this::onStoreResult);
        configWatch = new PrefixWatch(
                vertx, clock, configRelay, codec.configKey(), 0, new ConfigListener(), this::onStoreResult);
        controlWatch = new PrefixWatch(vertx, clock, store, StoreKeys.CONTROL, 20, view, this::onStoreResult);
    }

    /** Starts to listen for peers and to watch the store. */
    public Future<Void> start() {
        registerHandlers();
        metrics.registerGauge("config.age_ms", this::configAgeMs);
        configWatch.start();
        controlWatch.start();
        lease.start();
        vertx.setPeriodic(ELECTION_TICK_MS, ignored -> tick());
        return messenger.start();
    }

    private void tick() {
        store.tick();
        closeSuperseded();
        PoolConfig current = config;
        if (current != null && controlWatch.isListed() && !draining) {
            sizing.tick(current.pools());
            election.tick(sliceNames());
        }
    }

    /** Stops owners over which another VM has claimed the pool, before a worker or the store rejects them. */
    private void closeSuperseded() {
        List.copyOf(owned.values())
                .forEach(owner ->
                        view.owner(owner.pool()).map(Ownership::revision).ifPresent(owner::onClaimSeen));
    }

    private List<String> otherVms() {
        return view.active().keySet().stream()
                .filter(vm -> !vm.equals(self.vmId()))
                .sorted()
                .toList();
    }

    /** Slices that need an owner: of all pools that may hold jobs, whether or not the configuration still has them. */
    private List<String> sliceNames() {
        return config == null ? List.of() : slices.all();
    }

    private void onStoreResult(boolean answered) {
        metrics.counter(answered ? "store.answers" : "store.failures").inc();
    }

    /** Whether this VM should receive new connections. */
    public boolean isReady() {
        return !draining && controlWatch.isListed() && hasCurrentConfig();
    }

    /** Whether this VM has read the configuration and knows the other VMs, so that it can serve requests. */
    public boolean hasStarted() {
        return config != null && controlWatch.isListed();
    }

    /** Whether the configuration in force is known to be the newest one, up to the last moments. */
    public boolean hasCurrentConfig() {
        return config != null && configRelay.isFresh();
    }

    /**
     * How long ago the configuration that was read last was known to be the store's newest, in milliseconds; very long
     * before the first read.
     */
    public long configAgeMs() {
        return clock.nowMs() - configRelay.knownAtMs();
    }

    /** The configuration in force; empty before the first one has been read. */
    public Optional<PoolConfig> config() {
        return Optional.ofNullable(config);
    }

    /** Releases all owned pools for a planned handover; submissions and queries are still served. */
    public Future<Void> drain() {
        draining = true;
        election.close();
        Optional<Write> entry = lease.drain();
        List<Future<?>> releases = new ArrayList<>();
        owned.forEach((pool, owner) -> {
            // A stand-by that pings sees at once that the pool is free, even if the store is unavailable for writes.
            election.onReleased(pool);
            releases.add(owner.release(entry));
        });
        if (owned.isEmpty() && entry.isPresent()) {
            releases.add(store.transact(new Txn(Map.of(), List.of(entry.get()), List.of())));
        }
        owned.clear();
        watchWorkers();
        Logger.info("event=draining vm={} calls={}", self.vmId(), releases.size());
        return Future.join(releases).mapEmpty();
    }

    /** Ends the lease, which removes this VM's entry from the store at once. */
    public Future<Void> leave() {
        return lease.close();
    }

    /** Stores a job; see {@link JobIntake#submit}. */
    public Future<Either<Failure, PoolJob>> submit(PoolJob job, long deadlineMs) {
        return slices.assign(job)
                .map(assigned -> intake.submit(assigned, deadlineMs))
                .orElseGet(this::rejectUnsized);
    }

    /**
     * Phase and tenant of a job; empty if no such job exists.
     *
     * @param pool pool to which the configuration sends the queue; the job may be in another one
     */
    public Future<Either<Failure, Optional<JobSummary>>> summary(String pool, String jobId) {
        return slices.ofJob(pool, jobId)
                .map(slice -> directory.summary(slice, jobId))
                .orElseGet(() -> directory.summary(jobId));
    }

    /** Cancels a job if the caller may access it. */
    public Future<Either<Failure, CancelOutcome>> cancel(String jobId, Caller caller) {
        return directory.cancel(jobId, caller);
    }

    /** Number of jobs of a queue without a started task, in all pools to which the queue has been sent. */
    public Future<Either<Failure, Integer>> pending(QueuePolicy queue) {
        Set<String> names = new TreeSet<>(slices.of(queue.pool()));
        if (names.isEmpty()) {
            return rejectUnsized();
        }
        names.addAll(view.slicesOfQueue(queue.address()));
        List<Future<Either<Failure, Integer>>> counts = names.stream()
                .map(slice -> directory.pending(slice, queue.name(), queue.address()))
                .toList();
        return Future.join(counts).map(all -> Either.sequenceRight(all.<Either<Failure, Integer>>list())
                .map(found -> found.sum().intValue()));
    }

    private <T> Future<Either<Failure, T>> rejectUnsized() {
        sizing.expedite();
        return Future.succeededFuture(Either.left(notReady()));
    }

    private void notifyOwner(JobStored stored) {
        String pool = stored.job().pool();
        PoolOwner local = owned.get(pool);
        if (local != null) {
            local.onJobStored(stored.job(), stored.claim());
            return;
        }
        view.owner(pool)
                .map(ownership -> ownership.owner().vmId())
                .filter(vm -> !vm.equals(self.vmId()))
                .ifPresent(vm -> messenger.send(vm, stored));
    }

    private void onClaimed(String pool, long fencingToken) {
        // An owner that is replaced by a new claim of this VM has acted until now.
        long ownEndMs = owned.containsKey(pool) ? clock.nowMs() : election.lastOwnedMs(pool);
        PoolOwner owner = new PoolOwner(
                vertx,
                clock,
                store,
                control,
                advice,
                quotas,
                metrics,
                pool,
                fencingToken,
                new EarlierOwners(clock, store, messenger, self, pool, fencingToken, ownEndMs),
                runTimes.newPredictor(),
                maxLeaseMs,
                this::onSuperseded);
        if (draining) {
            // The claim was in flight when the drain began.
            election.onReleased(pool);
            owner.release(Optional.empty());
            return;
        }
        PoolOwner previous = owned.put(pool, owner);
        if (previous != null) {
            previous.close();
        }
        owner.start(workers.of(pool));
        watchWorkers();
    }

    /** Watches the worker entries only while this VM owns a pool, to save store calls on all other VMs. */
    private void watchWorkers() {
        PrefixWatch watch = workerWatch;
        if (owned.isEmpty() && watch != null) {
            watch.close();
            workerWatch = null;
            workers.clear();
        } else if (!owned.isEmpty() && watch == null) {
            workerWatch = new PrefixWatch(
                    vertx, clock, store, codec.workerPrefix(), WORKER_WATCH_PAUSE_MS, workers, this::onStoreResult);
            workerWatch.start();
        }
    }

    private void onSuperseded(String pool, String reason) {
        Logger.warn("event=pool-lost pool={} vm={} reason=\"{}\"", pool, self.vmId(), reason);
        owned.remove(pool);
        election.onReleased(pool);
        watchWorkers();
    }

    private void registerHandlers() {
        messenger.handle(JobStored.class, (vm, message) -> {
            ownerOf(message.job().pool()).ifPresent(owner -> owner.onJobStored(message.job(), message.claim()));
            return done();
        });
        messenger.handle(CancelStored.class, (vm, message) -> {
            ownerOf(message.pool()).ifPresent(owner -> owner.onCancelStored(message.jobId()));
            return done();
        });
        messenger.handle(
                PoolPing.class,
                (vm, message) -> answer(
                        new PoolPong(election.ownsOrClaims(message.pool()), election.notOwnerForMs(message.pool()))));
        messenger.handle(
                QueryPoolJob.class,
                (vm, message) -> answer(ownerOf(message.pool())
                        .flatMap(owner -> owner.currentSummary(message.jobId()))
                        .map(job -> new PoolJobState(job.phase().name(), job.tenant()))
                        .orElseGet(() -> new PoolJobState("", null))));
        messenger.handle(
                QueryPending.class,
                (vm, message) -> answer(ownerOf(message.pool())
                        .flatMap(owner -> owner.pending(message.queue(), message.address()))
                        .map(pending -> new PendingJobs(pending.count(), pending.ageMs(clock.nowMs())))
                        .orElseGet(() -> new PendingJobs(-1, 0))));
        messenger.handle(QueryConfig.class, (vm, message) -> configRelay.serve(message));
        messenger.handle(RelayStore.class, (vm, message) -> store.serve(message).map(Either::narrow));
        messenger.handle(RequestAdvice.class, (vm, message) -> channel.advise(
                        message.step(), message.workers(), message.expectedMs())
                .map(result -> result.map(given -> new AdviceReply(given.tickets(), given.validMs()))));
    }

    private Optional<PoolOwner> ownerOf(String pool) {
        return Optional.ofNullable(owned.get(pool));
    }

    private static Future<Either<Failure, PeerMessage>> answer(PeerMessage message) {
        return Future.succeededFuture(Either.right(message));
    }

    private static Future<Either<Failure, PeerMessage>> done() {
        return answer(new EmptyReply());
    }

    /** Failure returned by a VM that has no configuration yet. */
    public static Failure notReady() {
        return Failure.retryable(ErrorCode.NOT_READY, "entry.route", "", "no configuration of the pool yet", 1_000);
    }

    /** Failure returned by a VM whose configuration may be outdated, where a newer one may have another result. */
    public static Failure outdatedConfig() {
        return Failure.retryable(
                ErrorCode.NOT_READY, "entry.route", "", "the configuration of this VM may be outdated", 1_000);
    }

    /** Applies the operators' configuration. */
    private final class ConfigListener implements PrefixWatch.Listener {
        @Override
        public void onListed(List<Item> items) {
            items.forEach(this::onChanged);
        }

        @Override
        public void onChanged(Item item) {
            byte[] value = item.value();
            if (value == null || !item.key().equals(codec.configKey())) {
                return;
            }
            codec.config(value).ifPresent(next -> {
                if (config == null || next.version() > config.version()) {
                    Logger.info(
                            "event=config-applied version={} previous={} queues={} pools={} bytes={} age_ms={}",
                            next.version(),
                            config == null ? 0 : config.version(),
                            next.queues().size(),
                            next.pools().size(),
                            value.length,
                            configAgeMs());
                    config = next;
                }
            });
        }
    }
}
