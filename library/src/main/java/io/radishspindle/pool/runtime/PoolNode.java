package io.radishspindle.pool.runtime;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.PoolConfig;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.AdviceService;
import io.radishspindle.pool.port.SharedStore;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.port.SharedStore.Txn;
import io.radishspindle.pool.port.SharedStore.Write;
import io.radishspindle.pool.port.WorkerControl;
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
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One entry VM that accepts jobs for pools and owns some of them. Belongs to the event loop on which it was created.
 *
 * <p>Invariant: the version of the configuration in force never goes back.
 */
public final class PoolNode {
    private static final long ELECTION_TICK_MS = 50;
    /** Pause between watches of the workers, in milliseconds, so that several changes arrive with one call. */
    private static final long WORKER_PAUSE_MS = 100;
    /** After this long without an answer of the store the VM reports itself not ready, in milliseconds. */
    private static final long STORE_SILENT_MS = 1_800;

    private final Vertx vertx;
    private final Clock clock;
    private final RelayedStore store;
    private final PlatformCodec codec;
    private final WorkerControl control;
    private final NodeIdentity self;
    private final MetricRegistry metrics;
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
    private final Map<String, WorkerEntry> workers = new HashMap<>();
    private @Nullable PoolConfig config;
    private boolean draining;

    /** Creates a VM; nothing is connected before {@link #start}. */
    public PoolNode(
            Vertx vertx,
            Clock clock,
            SharedStore platformStore,
            PlatformCodec codec,
            WorkerControl control,
            AdviceService adviceService,
            NodeIdentity self,
            MetricRegistry metrics) {
        this.vertx = vertx;
        this.clock = clock;
        this.codec = codec;
        this.control = control;
        this.self = self;
        this.metrics = metrics;
        view = new ControlView(clock);
        slices = new PoolSlices(view);
        // Every VM of the deployment can reach the store, so the key only keeps out stray connections.
        messenger =
                new TcpPeerMessenger(vertx, clock, self.vmId(), self.host(), self.peerPort(), "radishspindle", view);
        store = new RelayedStore(clock, platformStore, messenger, this::otherVms);
        sizing = new SliceSizing(clock, store, codec, view, self);
        lease = new NodeLease(vertx, store, self);
        election = new OwnerElection(clock, store, view, self, lease, messenger, this::claimed);
        channel = new AdviceChannel(clock, adviceService);
        advice = new AdviceDispatcher(clock, channel, messenger, self, view, this::sliceNames);
        intake = new JobIntake(vertx, clock, store, this::tellOwner, store::isDirectPathDown, store::retryAfterMs);
        directory = new JobDirectory(store, messenger, view, self, owned);
        configRelay = new ConfigRelay(vertx, clock, store, messenger, view, self, this::hasFreshConfig);
        configWatch = new PrefixWatch(
                vertx, clock, configRelay, codec.configKey(), 0, new ConfigListener(), this::storeAnswered);
        controlWatch = new PrefixWatch(vertx, clock, store, StoreKeys.CONTROL, 20, view, this::storeAnswered);
    }

    /** Starts to listen and to follow the store. */
    public Future<Void> start() {
        registerHandlers();
        configWatch.start();
        controlWatch.start();
        lease.start();
        vertx.setPeriodic(ELECTION_TICK_MS, ignored -> tick());
        return messenger.start();
    }

    private void tick() {
        store.tick();
        PoolConfig current = config;
        if (current != null && controlWatch.isListed() && !draining) {
            sizing.tick(current.pools());
            election.tick(sliceNames());
        }
    }

    private List<String> otherVms() {
        return view.active().keySet().stream()
                .filter(vm -> !vm.equals(self.vmId()))
                .sorted()
                .toList();
    }

    private List<String> sliceNames() {
        PoolConfig current = config;
        return current == null ? List.of() : slices.of(current.pools());
    }

    private void storeAnswered(boolean answered) {
        metrics.counter(answered ? "store.answers" : "store.failures").inc();
    }

    /** Whether new connections should come to this VM. */
    public boolean isReady() {
        return !draining && controlWatch.isListed() && hasFreshConfig();
    }

    /** Whether this VM has read the configuration and knows the other VMs, so that it can serve requests. */
    public boolean hasStarted() {
        return config != null && controlWatch.isListed();
    }

    private boolean hasFreshConfig() {
        return config != null && clock.nowMs() - configWatch.lastSuccessMs() < STORE_SILENT_MS;
    }

    /** The configuration in force; empty before the first one has been read. */
    public Optional<PoolConfig> config() {
        return Optional.ofNullable(config);
    }

    /** Hands pools over; submissions and questions are still answered. */
    public Future<Void> drain() {
        draining = true;
        election.close();
        Optional<Write> entry = lease.drain();
        List<Future<?>> releases = new ArrayList<>();
        owned.forEach((pool, owner) -> {
            // A stand-by that asks learns at once that the pool is free, also while the store can't be written.
            election.released(pool);
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

    /** Ends the lease, so that the other VMs forget this one at once. */
    public Future<Void> leave() {
        return lease.close();
    }

    /** Stores a job; see {@link JobIntake#submit}. */
    public Future<Either<Failure, PoolJob>> submit(PoolJob job, long deadlineMs) {
        return slices.assign(job)
                .map(assigned -> intake.submit(assigned, deadlineMs))
                .orElseGet(this::refuseUnsized);
    }

    /** Phase of a job; empty if no such job exists. */
    public Future<Either<Failure, Optional<JobPhase>>> phase(String pool, String jobId) {
        return slices.ofJob(pool, jobId)
                .map(slice -> directory.phase(slice, jobId))
                .orElseGet(this::refuseUnsized);
    }

    /** Cancels a job; false if no such job exists. */
    public Future<Either<Failure, Boolean>> cancel(String pool, String jobId) {
        return slices.ofJob(pool, jobId)
                .map(slice -> directory.cancel(slice, jobId))
                .orElseGet(this::refuseUnsized);
    }

    /** Number of jobs of a queue without a started task. */
    public Future<Either<Failure, Integer>> pending(String pool, String queue) {
        List<String> names = slices.of(pool);
        if (names.isEmpty()) {
            return refuseUnsized();
        }
        List<Future<Either<Failure, Integer>>> counts =
                names.stream().map(slice -> directory.pending(slice, queue)).toList();
        return Future.join(counts).map(all -> Either.sequenceRight(all.<Either<Failure, Integer>>list())
                .map(found -> found.sum().intValue()));
    }

    private <T> Future<Either<Failure, T>> refuseUnsized() {
        sizing.hurry();
        return Future.succeededFuture(Either.left(notReady()));
    }

    private void tellOwner(PoolJob job) {
        PoolOwner local = owned.get(job.pool());
        if (local != null) {
            local.jobStored(job);
            return;
        }
        view.owner(job.pool())
                .map(ownership -> ownership.owner().vmId())
                .filter(vm -> !vm.equals(self.vmId()))
                .ifPresent(vm -> messenger.send(vm, new JobStored(job)));
    }

    private void claimed(String pool, long token) {
        PoolOwner owner = new PoolOwner(vertx, clock, store, control, advice, metrics, pool, token, this::deposed);
        if (draining) {
            // The claim was under way when the drain began.
            election.released(pool);
            owner.release(Optional.empty());
            return;
        }
        PoolOwner previous = owned.put(pool, owner);
        if (previous != null) {
            previous.close();
        }
        owner.start(workers.values().stream()
                .filter(worker -> slices.ofWorker(worker).filter(pool::equals).isPresent())
                .toList());
        watchWorkers();
    }

    /** Only an owner needs the workers, so that other VMs save the calls. */
    private void watchWorkers() {
        PrefixWatch watch = workerWatch;
        if (owned.isEmpty() && watch != null) {
            watch.close();
            workerWatch = null;
            workers.clear();
        } else if (!owned.isEmpty() && watch == null) {
            workerWatch = new PrefixWatch(
                    vertx,
                    clock,
                    store,
                    codec.workerPrefix(),
                    WORKER_PAUSE_MS,
                    new WorkerListener(),
                    this::storeAnswered);
            workerWatch.start();
        }
    }

    private void deposed(String pool, String reason) {
        Logger.warn("event=pool-lost pool={} vm={} reason=\"{}\"", pool, self.vmId(), reason);
        owned.remove(pool);
        election.released(pool);
        watchWorkers();
    }

    private void registerHandlers() {
        messenger.handle(JobStored.class, (vm, message) -> {
            ownerOf(message.job().pool()).ifPresent(owner -> owner.jobStored(message.job()));
            return done();
        });
        messenger.handle(CancelStored.class, (vm, message) -> {
            ownerOf(message.pool()).ifPresent(owner -> owner.cancelStored(message.jobId()));
            return done();
        });
        messenger.handle(PoolPing.class, (vm, message) -> answer(new PoolPong(election.holds(message.pool()))));
        messenger.handle(
                QueryPoolJob.class,
                (vm, message) -> answer(new PoolJobState(ownerOf(message.pool())
                        .flatMap(owner -> owner.phase(message.jobId()))
                        .map(JobPhase::name)
                        .orElse(""))));
        messenger.handle(
                QueryPending.class,
                (vm, message) -> answer(new PendingJobs(ownerOf(message.pool())
                        .flatMap(owner -> owner.pending(message.queue()))
                        .orElse(-1))));
        messenger.handle(QueryConfig.class, (vm, message) -> configRelay.serve(message));
        messenger.handle(RelayStore.class, (vm, message) -> store.serve(message).map(Either::narrow));
        messenger.handle(RequestAdvice.class, (vm, message) -> channel.advise(
                        message.step(), message.workers(), message.expectedMs())
                .map(result -> result.map(given -> new AdviceReply(given.tickets(), given.validMs()))));
    }

    private Optional<PoolOwner> ownerOf(String pool) {
        return Optional.ofNullable(owned.get(pool));
    }

    private Optional<PoolOwner> ownerOf(WorkerEntry worker) {
        return slices.ofWorker(worker).flatMap(this::ownerOf);
    }

    private static Future<Either<Failure, PeerMessage>> answer(PeerMessage message) {
        return Future.succeededFuture(Either.right(message));
    }

    private static Future<Either<Failure, PeerMessage>> done() {
        return answer(new EmptyReply());
    }

    /** Refusal of a VM that has no configuration yet. */
    public static Failure notReady() {
        return Failure.retryable(ErrorCode.NOT_READY, "entry.route", "", "no configuration of the pool yet", 1_000);
    }

    /** The operators' configuration. */
    private final class ConfigListener implements PrefixWatch.Listener {
        @Override
        public void listed(List<Item> items) {
            items.forEach(this::changed);
        }

        @Override
        public void changed(Item item) {
            byte[] value = item.value();
            if (value == null || !item.key().equals(codec.configKey())) {
                return;
            }
            configRelay.seen(item);
            codec.config(value).ifPresent(next -> {
                if (config == null || next.version() > config.version()) {
                    Logger.info(
                            "event=config-applied version={} previous={} queues={} pools={}",
                            next.version(),
                            config == null ? 0 : config.version(),
                            next.queues().size(),
                            next.pools().size());
                    config = next;
                }
            });
        }
    }

    /** The workers' own entries. */
    private final class WorkerListener implements PrefixWatch.Listener {
        @Override
        public void listed(List<Item> items) {
            Set<String> present = items.stream().map(item -> id(item.key())).collect(Collectors.toSet());
            List.copyOf(workers.keySet()).stream()
                    .filter(id -> !present.contains(id))
                    .forEach(this::gone);
            items.forEach(this::changed);
        }

        @Override
        public void changed(Item item) {
            byte[] value = item.value();
            if (value == null) {
                gone(id(item.key()));
                return;
            }
            codec.worker(item.key(), value).ifPresent(entry -> {
                WorkerEntry before = workers.put(entry.id(), entry);
                if (before != null && !slices.ofWorker(before).equals(slices.ofWorker(entry))) {
                    ownerOf(before).ifPresent(owner -> owner.workerUnlisted(entry.id()));
                }
                ownerOf(entry).ifPresent(owner -> owner.workerListed(entry));
            });
        }

        private void gone(String id) {
            WorkerEntry entry = workers.remove(id);
            if (entry != null) {
                ownerOf(entry).ifPresent(owner -> owner.workerUnlisted(id));
            }
        }

        private String id(String key) {
            return key.substring(codec.workerPrefix().length());
        }
    }
}
