package io.radishspindle.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.MembershipService;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.platform.VmList;
import io.radishspindle.protocol.PeerDirectory;
import io.radishspindle.protocol.TcpPeerMessenger;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the wiring of membership and configuration over real connections; the cores are tested in virtual time. */
class ServicesOverTcpTest {
    private static final int VMS = 3;
    private static final int MAX_POLLS = 1_500;

    private final Vertx vertx = Vertx.vertx();
    private final Map<String, Store.Entry> contents = new ConcurrentHashMap<>();
    private final Map<String, PeerDirectory.PeerAddress> addresses = new ConcurrentHashMap<>();
    private final List<MembershipService> memberships = new ArrayList<>();
    private final List<ConfigService> configs = new ArrayList<>();

    /** A store in memory whose watches stay quiet, so that only peers and checks spread a change. */
    private final class QuietStore implements Store {
        @Override
        public Future<Either<Failure, Entry>> get(String key) {
            return Future.succeededFuture(
                    Either.right(contents.getOrDefault(key, new Entry(key, new byte[0], ABSENT, 0))));
        }

        @Override
        public Future<Either<Failure, Long>> put(String key, byte[] value, long expected) {
            synchronized (contents) {
                Entry before = contents.getOrDefault(key, new Entry(key, new byte[0], ABSENT, 0));
                if (before.version() != expected) {
                    return Future.succeededFuture(
                            Either.left(Failure.rejected(ErrorCode.CONFLICT, "store.put", "other version")));
                }
                contents.put(key, new Entry(key, value, expected + 1, expected + 1));
                return Future.succeededFuture(Either.right(expected + 1));
            }
        }

        @Override
        public Future<Either<Failure, Long>> delete(String key, long expected) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Future<Either<Failure, List<Entry>>> list(String prefix) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Future<Either<Failure, Changes>> watch(String prefix, long after, long waitMs) {
            return Future.future(never -> {});
        }
    }

    @AfterEach
    void stop() {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(60, TimeUnit.SECONDS)
                .join();
    }

    private void waitUntil(BooleanSupplier condition) {
        for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
            await(vertx.timer(20, TimeUnit.MILLISECONDS));
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    private void startVm(String id) {
        List<EntrySettings.Seed> seeds = new ArrayList<>();
        for (int i = 1; i <= VMS; i++) {
            if (!id.equals("a" + i)) {
                seeds.add(new EntrySettings.Seed("a" + i, "a", "127.0.0.1", 1));
            }
        }
        EntrySettings settings = new EntrySettings(
                new EntrySettings.Vm(id, "a", "r", "127.0.0.1"),
                new EntrySettings.Listen(0, 0, 0),
                new EntrySettings.Peers(seeds, List.of("a:r"), "0123456789abcdef", 250, 1000, 1000, 3000),
                new EntrySettings.Platform("", 1, "", 1, 5000, 1000),
                null,
                null);
        SystemClock clock = new SystemClock();
        TcpPeerMessenger messenger = new TcpPeerMessenger(
                vertx,
                clock,
                id,
                "127.0.0.1",
                0,
                settings.peers().sharedKey(),
                vm -> java.util.Optional.ofNullable(addresses.get(vm)));
        await(messenger.start());
        addresses.put(id, new PeerDirectory.PeerAddress("127.0.0.1", messenger.port()));
        VmList noList = () -> Future.succeededFuture(Either.left(Failure.outcomeUnknown("vmlist", "", "no list")));
        MembershipService membership =
                new MembershipService(vertx, clock, messenger, noList, settings, new MetricRegistry());
        ConfigService config = new ConfigService(vertx, clock, new QuietStore(), messenger, settings);
        membership.setConfigRevision(config::revision);
        membership.onChange(config::update);
        memberships.add(membership);
        configs.add(config);
        await(membership.start().compose(done -> config.start()));
    }

    @Test
    void should_find_peers_and_spread_a_change_over_real_connections() {
        // given
        for (int i = 1; i <= VMS; i++) {
            startVm("a" + i);
        }
        waitUntil(() -> memberships.stream()
                .allMatch(m -> m.view().entryVms().stream().allMatch(vm -> vm.liveness() == Liveness.LIVE)));
        waitUntil(() -> configs.stream().allMatch(c -> c.revision() == 0));

        // when
        Either<Failure, FleetConfig> answer = await(configs.get(2).change(ConfigFleet.setQueue(0, "alice", 101)));
        memberships.get(1).setLeaving();

        // then
        assertThat(answer.get().revision()).isEqualTo(1);
        waitUntil(() -> configs.stream().allMatch(c -> c.revision() == 1));
        waitUntil(() -> memberships.get(0).view().entryVms().get(1).liveness() == Liveness.LEAVING);
    }
}
