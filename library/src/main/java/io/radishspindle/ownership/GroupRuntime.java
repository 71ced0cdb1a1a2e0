package io.radishspindle.ownership;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementPolicy;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.WorkerClient;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongFunction;
import org.jspecify.annotations.Nullable;

/**
 * Runs the {@link DataCentreCore} of one entry VM: owns its timer and carries out its actions. All methods must be
 * called on the event loop on which it was started; answers of store and workers are brought back to it.
 */
public class GroupRuntime implements GroupService {
    private static final long TICK_MS = 50;

    /** Leaves room for call numbers below the next millisecond of the wall clock; see {@link Effects}. */
    private static final int CALLS_PER_WALL_MS = 1_000;

    private final Vertx vertx;
    private final Clock clock;
    private final Store store;
    private final WorkerClient workers;
    private final EntrySettings settings;
    private final LongFunction<GroupPlacement> placements;
    private final Map<Long, Promise<Either<Failure, JobStatus>>> requests = new HashMap<>();
    private final List<Promise<Void>> releases = new ArrayList<>();
    private MetricRegistry metrics = new MetricRegistry();
    private @Nullable DataCentreCore core;
    private @Nullable Context context;
    private long timer;
    private long lastRequest;

    /** @param placements makes a placement core from a seed */
    public GroupRuntime(
            Vertx vertx,
            Clock clock,
            Store store,
            WorkerClient workers,
            EntrySettings settings,
            LongFunction<GroupPlacement> placements) {
        this.vertx = vertx;
        this.clock = clock;
        this.store = store;
        this.workers = workers;
        this.settings = settings;
        this.placements = placements;
    }

    /** Sets the registry that counts takeovers, lost authority, journal writes and messages; before the start. */
    public void setMetrics(MetricRegistry registry) {
        metrics = registry;
    }

    /** Starts the timer on the current event loop. */
    public void start() {
        context = vertx.getOrCreateContext();
        core = new DataCentreCore(
                settings.vm().id(),
                settings.vm().dataCentre(),
                settings.ownership().groupsPerDataCentre(),
                OwnershipTiming.of(settings),
                clock.wallMs() * CALLS_PER_WALL_MS,
                placements,
                metrics);
        timer = vertx.setPeriodic(TICK_MS, id -> handle(new OwnershipEvent.Tick()));
    }

    /** Stops without a release, as at the death of the VM; pending answers become "unknown". */
    public void close() {
        vertx.cancelTimer(timer);
        core = null;
        List<Promise<Either<Failure, JobStatus>>> pending = List.copyOf(requests.values());
        requests.clear();
        pending.forEach(promise -> promise.tryComplete(
                Either.left(Failure.outcomeUnknown("group", settings.vm().id(), "the VM has stopped"))));
    }

    @Override
    public Future<Either<Failure, JobStatus>> submit(String group, long epoch, JobSpec job) {
        long request = ++lastRequest;
        return ask(request, new OwnershipEvent.SubmitRequested(request, group, epoch, job));
    }

    @Override
    public Future<Either<Failure, JobStatus>> cancel(String jobId, String actor) {
        long request = ++lastRequest;
        return ask(request, new OwnershipEvent.CancelRequested(request, jobId, actor));
    }

    @Override
    public Either<Failure, JobStatus> status(String group, String jobId, long afterEpoch) {
        DataCentreCore current = core;
        if (current == null) {
            return Either.left(stopped());
        }
        return current.status(group, jobId, afterEpoch);
    }

    @Override
    public List<JobStatus> statuses(int limit) {
        DataCentreCore current = core;
        return current == null ? List.of() : current.statuses(limit);
    }

    @Override
    public List<GroupSummary> summaries() {
        DataCentreCore current = core;
        return current == null ? List.of() : current.summaries();
    }

    @Override
    public void update(MembershipView view) {
        handle(new OwnershipEvent.ViewChanged(view));
    }

    @Override
    public void update(PlacementPolicy policy) {
        handle(new OwnershipEvent.PolicyUpdated(policy));
    }

    @Override
    public Future<Void> release() {
        if (core == null) {
            return Future.succeededFuture();
        }
        Promise<Void> promise = Promise.promise();
        releases.add(promise);
        handle(new OwnershipEvent.ReleaseRequested());
        return promise.future();
    }

    private Future<Either<Failure, JobStatus>> ask(long request, OwnershipEvent event) {
        if (core == null) {
            return Future.succeededFuture(Either.left(stopped()));
        }
        Promise<Either<Failure, JobStatus>> promise = Promise.promise();
        requests.put(request, promise);
        handle(event);
        return promise.future();
    }

    private static Failure stopped() {
        return Failure.retryable(ErrorCode.NOT_READY, "group", "", "the ownership of groups is not running", 1_000);
    }

    private void handle(OwnershipEvent event) {
        DataCentreCore current = core;
        if (current == null) {
            return;
        }
        current.handle(clock.nowMs(), event).forEach(this::perform);
        if (!releases.isEmpty() && current.isReleased()) {
            List<Promise<Void>> done = List.copyOf(releases);
            releases.clear();
            done.forEach(Promise::complete);
        }
    }

    private void perform(OwnershipAction action) {
        if (action instanceof OwnershipAction.SendControl send) {
            sendControl(send);
        } else if (action instanceof OwnershipAction.WriteKey write) {
            deliver(
                    store.put(write.key(), write.value(), write.expectedVersion()),
                    result -> new OwnershipEvent.KeyWritten(write.call(), result));
        } else if (action instanceof OwnershipAction.ReadKey read) {
            deliver(store.get(read.key()), result -> new OwnershipEvent.KeyRead(read.call(), result));
        } else if (action instanceof OwnershipAction.ListKeys list) {
            deliver(store.list(list.prefix()), result -> new OwnershipEvent.KeysListed(list.call(), result));
        } else if (action instanceof OwnershipAction.Answer answer) {
            Promise<Either<Failure, JobStatus>> promise = requests.remove(answer.request());
            if (promise != null) {
                promise.complete(answer.result());
            }
        }
    }

    private void sendControl(OwnershipAction.SendControl send) {
        // Read immediately before sending: the VM may have been paused since the core decided.
        long sentAt = clock.nowMs();
        if (sentAt > send.notAfterMs()) {
            String message = "authority lapsed before the message was sent";
            Failure failure = Failure.retryable(
                    ErrorCode.NO_OWNER, "worker.control", send.worker().id(), message, 0);
            onLoop(new OwnershipEvent.ControlAnswered(send.call(), sentAt, Either.left(failure)));
            return;
        }
        deliver(
                workers.control(send.worker(), send.request(), send.timeoutMs()),
                result -> new OwnershipEvent.ControlAnswered(send.call(), sentAt, result));
    }

    private <T> void deliver(Future<T> future, java.util.function.Function<T, OwnershipEvent> event) {
        future.onSuccess(result -> onLoop(event.apply(result)));
    }

    private void onLoop(OwnershipEvent event) {
        Context home = context;
        if (home != null) {
            home.runOnContext(ignored -> handle(event));
        }
    }
}
