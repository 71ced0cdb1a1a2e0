package io.radishspindle.config;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.radishspindle.config.ConfigAction.Applied;
import io.radishspindle.config.ConfigAction.ChangeEnded;
import io.radishspindle.config.ConfigAction.Pull;
import io.radishspindle.config.ConfigAction.Push;
import io.radishspindle.config.ConfigAction.Put;
import io.radishspindle.config.ConfigAction.Read;
import io.radishspindle.config.ConfigAction.StoreWentBack;
import io.radishspindle.config.ConfigAction.Watch;
import io.radishspindle.config.ConfigEvent.ChangeRequested;
import io.radishspindle.config.ConfigEvent.DocumentReceived;
import io.radishspindle.config.ConfigEvent.PullAnswered;
import io.radishspindle.config.ConfigEvent.PutAnswered;
import io.radishspindle.config.ConfigEvent.ReadAnswered;
import io.radishspindle.config.ConfigEvent.Tick;
import io.radishspindle.config.ConfigEvent.ViewChanged;
import io.radishspindle.config.ConfigEvent.WatchAnswered;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.Store;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.ConfigDocument;
import io.radishspindle.protocol.message.ConfigPull;
import io.radishspindle.protocol.message.EmptyReply;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * The fleet configuration at one VM. {@link #current}, {@link #revision} and {@link #change} may be called from any
 * thread; everything else runs on the event loop of the context in which the service was created, listeners included.
 */
public final class ConfigService {
    private static final long TICK_MS = 100;

    private final Vertx vertx;
    private final Clock clock;
    private final Store store;
    private final PeerMessenger messenger;
    private final EntrySettings settings;
    private final Context context;
    private final ConfigCore core;
    private final List<Consumer<FleetConfig>> listeners = new CopyOnWriteArrayList<>();
    private final Map<Long, Promise<Either<Failure, FleetConfig>>> changes = new HashMap<>();
    private volatile Optional<FleetConfig> current = Optional.empty();
    private MetricRegistry metrics = new MetricRegistry();
    private long lastChange;
    private long timer = -1;
    private boolean closed;

    public ConfigService(Vertx vertx, Clock clock, Store store, PeerMessenger messenger, EntrySettings settings) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.messenger = messenger;
        this.settings = settings;
        context = vertx.getOrCreateContext();
        core = new ConfigCore(clock.nowMs(), settings, Mechanisms.ALL);
    }

    /** Registers the revision in force, the number of dead watches found, and changes by their outcome. */
    public void setMetrics(MetricRegistry registry) {
        metrics = registry;
        registry.gauge("config.revision", () -> (Gauge<Long>) this::revision);
        registry.gauge("config.dead-watches", () -> (Gauge<Integer>) core::deadWatches);
    }

    /** Starts to follow the configuration; {@link #current} stays empty until the store or a peer has answered. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.runOnContext(ignored -> {
            messenger.handle(
                    ConfigPull.class,
                    (from, pull) -> Future.succeededFuture(Either.right(core.answerPull(pull.haveRevision()))));
            messenger.handle(ConfigDocument.class, (from, document) -> {
                handle(new DocumentReceived(from, document));
                return Future.succeededFuture(Either.right(new EmptyReply()));
            });
            timer = vertx.setPeriodic(TICK_MS, tick -> handle(new Tick(clock.wallMs())));
            handle(new Tick(clock.wallMs()));
            started.complete();
        });
        return started.future();
    }

    /** Stops; changes without an answer end with an unknown outcome. */
    public Future<Void> close() {
        Promise<Void> done = Promise.promise();
        context.runOnContext(ignored -> {
            closed = true;
            vertx.cancelTimer(timer);
            changes.values()
                    .forEach(promise -> promise.tryComplete(
                            Either.left(Failure.outcomeUnknown("config.change", "", "this VM is shutting down"))));
            changes.clear();
            done.complete();
        });
        return done.future();
    }

    /** The configuration in force; empty if neither the store nor a peer has given one yet. */
    public Optional<FleetConfig> current() {
        return current;
    }

    /** Revision in force, for heartbeats; -1 if there is none. */
    public long revision() {
        return current.map(FleetConfig::revision).orElse(ConfigCore.NO_REVISION);
    }

    /** Calls the listener when a newer configuration is in force and when an exception has ended by its time. */
    public void onChange(Consumer<FleetConfig> listener) {
        listeners.add(listener);
    }

    /** Takes liveness and revisions of the peers. */
    public void update(MembershipView view) {
        context.runOnContext(ignored -> handle(new ViewChanged(view)));
    }

    /** Applies a change; completes with the configuration that contains it. */
    public Future<Either<Failure, FleetConfig>> change(ConfigChange change) {
        Promise<Either<Failure, FleetConfig>> promise = Promise.promise();
        context.runOnContext(ignored -> {
            if (closed) {
                promise.complete(Either.left(
                        Failure.rejected(ErrorCode.SHUTTING_DOWN, "config.change", "this VM is shutting down")));
                return;
            }
            long number = ++lastChange;
            changes.put(number, promise);
            String changeId = settings.vm().id() + "-" + UUID.randomUUID();
            handle(new ChangeRequested(number, changeId, clock.wallMs(), change));
        });
        return promise.future();
    }

    /** Audit entries of one older block of 100 revisions, read from the store; empty if there is no such block. */
    public Future<Either<Failure, List<AuditEntry>>> auditBlock(long block) {
        return store.get(AuditBlocks.key(block))
                .map(answer -> answer.map(
                        entry -> entry.exists() ? ConfigCodec.decodeAudit(entry.value()) : List.<AuditEntry>of()));
    }

    /** Number of the block that holds a revision which is no longer in the document. */
    public static long auditBlockOf(long revision) {
        return AuditBlocks.blockOf(revision);
    }

    private void handle(ConfigEvent event) {
        if (closed) {
            return;
        }
        for (ConfigAction action : core.handle(clock.nowMs(), event)) {
            run(action);
        }
    }

    private void run(ConfigAction action) {
        if (action instanceof Read read) {
            store.get(read.key()).onSuccess(answer -> later(new ReadAnswered(read.id(), answer)));
        } else if (action instanceof Watch watch) {
            store.watch(watch.key(), watch.afterRevision(), watch.waitMs())
                    .onSuccess(answer -> later(new WatchAnswered(watch.id(), answer)));
        } else if (action instanceof Put put) {
            store.put(put.key(), put.value(), put.expectedVersion())
                    .onSuccess(answer -> later(new PutAnswered(put.id(), answer)));
        } else if (action instanceof Pull pull) {
            messenger
                    .request(
                            pull.fromVm(),
                            new ConfigPull(pull.haveRevision()),
                            ConfigDocument.class,
                            settings.platform().timeoutMs())
                    .onSuccess(answer -> later(new PullAnswered(pull.id(), answer)));
        } else if (action instanceof Push push) {
            messenger.send(push.toVm(), push.document());
        } else if (action instanceof ChangeEnded ended) {
            endChange(ended);
        } else if (action instanceof Applied applied) {
            apply(applied.config());
        } else if (action instanceof StoreWentBack e) {
            metrics.counter("config.store-went-back").inc();
            Logger.error(
                    "event=store-went-back store_revision={} known_revision={}", e.storeRevision(), e.knownRevision());
        }
    }

    /** Answers arrive on any thread. */
    private void later(ConfigEvent event) {
        context.runOnContext(ignored -> handle(event));
    }

    private void endChange(ChangeEnded ended) {
        Promise<Either<Failure, FleetConfig>> promise = changes.remove(ended.changeNumber());
        if (promise != null) {
            String outcome = ended.result()
                    .fold(
                            failure -> failure.code()
                                    .name()
                                    .toLowerCase(Locale.ROOT)
                                    .replace('_', '-'),
                            c -> "applied");
            metrics.counter("config.changes." + outcome).inc();
            promise.complete(ended.result());
        }
    }

    private void apply(FleetConfig config) {
        Logger.info("event=config-applied revision={}", config.revision());
        current = Optional.of(config);
        listeners.forEach(listener -> listener.accept(config));
    }
}
