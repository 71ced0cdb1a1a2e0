package io.radishspindle.membership;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipAction.Resumed;
import io.radishspindle.membership.MembershipAction.Send;
import io.radishspindle.membership.MembershipAction.ViewChanged;
import io.radishspindle.membership.MembershipEvent.DigestReceived;
import io.radishspindle.membership.MembershipEvent.HeartbeatReceived;
import io.radishspindle.membership.MembershipEvent.Leave;
import io.radishspindle.membership.MembershipEvent.ListingReceived;
import io.radishspindle.membership.MembershipEvent.LocalStateChanged;
import io.radishspindle.membership.MembershipEvent.Tick;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.platform.Clock;
import io.radishspindle.platform.VmList;
import io.radishspindle.protocol.PeerDirectory;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.EmptyReply;
import io.radishspindle.protocol.message.Heartbeat;
import io.radishspindle.protocol.message.RelayDigest;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;
import org.tinylog.Logger;

/**
 * Exchanges heartbeats with other entry VMs and reads the VM list. {@link #view}, {@link #isListed} and
 * {@link #addressOf} may be called from any thread; everything else runs on the event loop of the context in which the
 * service was created, listeners and suppliers included.
 */
public final class MembershipService implements PeerDirectory {
    /** Ticks within one heartbeat, so that a change of liveness is seen soon after it is due. */
    private static final int TICKS_PER_HEARTBEAT = 5;
    /** Distinguishes two starts within one millisecond. */
    private static final int INCARNATIONS_PER_MS = 4096;

    private final Vertx vertx;
    private final Clock clock;
    private final PeerMessenger messenger;
    private final VmList vmList;
    private final EntrySettings settings;
    private final MetricRegistry metrics;
    private final Context context;
    private final MembershipCore core;
    private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
    private Supplier<List<GroupSummary>> groupSummaries = List::of;
    private Supplier<List<ServiceLoad>> serviceLoads = List::of;
    private Supplier<List<String>> leavingEndpoints = List::of;
    private LongSupplier configRevision = () -> 0;
    private volatile MembershipView view;
    private boolean fetching;
    private boolean listRead;
    private volatile boolean listed;
    private long tickTimer = -1;
    private long pollTimer = -1;

    public MembershipService(
            Vertx vertx,
            Clock clock,
            PeerMessenger messenger,
            VmList vmList,
            EntrySettings settings,
            MetricRegistry metrics) {
        this.vertx = vertx;
        this.clock = clock;
        this.messenger = messenger;
        this.vmList = vmList;
        this.settings = settings;
        this.metrics = metrics;
        context = vertx.getOrCreateContext();
        long random = RandomSource.SPLIT_MIX_64.create().nextInt(INCARNATIONS_PER_MS);
        core = new MembershipCore(clock.nowMs(), settings, clock.wallMs() * INCARNATIONS_PER_MS + random);
        view = core.view(clock.nowMs());
    }

    public void setGroupSummaries(Supplier<List<GroupSummary>> supplier) {
        groupSummaries = supplier;
    }

    public void setServiceLoads(Supplier<List<ServiceLoad>> supplier) {
        serviceLoads = supplier;
    }

    /** Ids of endpoints that this VM's probes found to be leaving. */
    public void setLeavingEndpoints(Supplier<List<String>> supplier) {
        leavingEndpoints = supplier;
    }

    public void setConfigRevision(LongSupplier supplier) {
        configRevision = supplier;
    }

    /** Starts heartbeats; completes when the VM list was read once, whether or not it could be read. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.runOnContext(ignored -> {
            messenger.handle(Heartbeat.class, (from, message) -> handled(new HeartbeatReceived(from, message)));
            messenger.handle(RelayDigest.class, (from, message) -> handled(new DigestReceived(from, message)));
            registerMetrics();
            tickTimer = vertx.setPeriodic(
                    Math.max(1, settings.peers().heartbeatMs() / TICKS_PER_HEARTBEAT), timer -> tick());
            pollTimer = vertx.setPeriodic(settings.platform().vmListPollMs(), timer -> fetch());
            fetch().onComplete(done -> started.complete());
        });
        return started.future();
    }

    public Future<Void> close() {
        Promise<Void> done = Promise.promise();
        context.runOnContext(ignored -> {
            vertx.cancelTimer(tickTimer);
            vertx.cancelTimer(pollTimer);
            done.complete();
        });
        return done.future();
    }

    public MembershipView view() {
        return view;
    }

    /** Whether the VM list was read and the listeners know its VMs; may be called from any thread. */
    public boolean isListed() {
        return listed;
    }

    /** Calls the listener on each new view, at most once per tick. */
    public void onChange(Consumer<MembershipView> listener) {
        listeners.add(listener);
    }

    /** Tells the peers at once that this VM takes no new work. */
    public void setLeaving() {
        context.runOnContext(ignored -> handle(new Leave()));
    }

    @Override
    public Optional<PeerAddress> addressOf(String vmId) {
        return view.entryVms().stream()
                .filter(vm -> vm.id().equals(vmId))
                .map(vm -> new PeerAddress(vm.host(), vm.port()))
                .findFirst();
    }

    private void tick() {
        handle(new LocalStateChanged(
                configRevision.getAsLong(),
                List.copyOf(groupSummaries.get()),
                List.copyOf(serviceLoads.get()),
                List.copyOf(leavingEndpoints.get())));
        handle(new Tick());
        // The tick has published the view with the listing.
        listed = listRead;
    }

    private Future<Void> fetch() {
        if (fetching) {
            return Future.succeededFuture();
        }
        fetching = true;
        return vmList.fetch().transform(result -> {
            fetching = false;
            if (result.succeeded()) {
                result.result()
                        .peek(this::onListing)
                        .peekLeft(failure -> Logger.warn(
                                "event=vm-list-unavailable peer={} reason=\"{}\"", failure.peer(), failure.message()));
            }
            return Future.succeededFuture();
        });
    }

    private void onListing(VmList.Listing listing) {
        handle(new ListingReceived(listing));
        listRead = true;
    }

    private Future<Either<Failure, PeerMessage>> handled(MembershipEvent event) {
        metrics.meter("membership.messages-received").mark();
        handle(event);
        return Future.succeededFuture(Either.right(new EmptyReply()));
    }

    private void handle(MembershipEvent event) {
        for (MembershipAction action : core.handle(clock.nowMs(), event)) {
            run(action);
        }
    }

    private void run(MembershipAction action) {
        if (action instanceof Send send) {
            messenger.send(send.toVm(), send.message());
        } else if (action instanceof ViewChanged changed) {
            logChanges(view, changed.view());
            view = changed.view();
            listeners.forEach(listener -> listener.accept(changed.view()));
        } else if (action instanceof Resumed resumed) {
            Logger.warn("event=resumed-after-pause paused_ms={}", resumed.pausedMs());
            metrics.counter("membership.pauses").inc();
            fetch();
        }
    }

    private static void logChanges(MembershipView before, MembershipView after) {
        for (MembershipView.EntryVm vm : after.entryVms()) {
            boolean same = before.entryVms().stream()
                    .anyMatch(old -> old.id().equals(vm.id()) && old.liveness() == vm.liveness());
            if (!same) {
                Logger.info("event=peer-liveness peer={} liveness={}", vm.id(), vm.liveness());
            }
        }
    }

    private void registerMetrics() {
        for (Liveness liveness : Liveness.values()) {
            String name = "membership.vms-" + liveness.name().toLowerCase(java.util.Locale.ROOT);
            metrics.gauge(name, () -> (Gauge<Long>) () -> view.entryVms().stream()
                    .filter(vm -> vm.liveness() == liveness)
                    .count());
        }
    }
}
