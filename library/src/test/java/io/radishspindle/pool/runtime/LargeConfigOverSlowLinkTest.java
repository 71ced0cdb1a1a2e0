package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.ConfigReply;
import io.radishspindle.protocol.message.PoolMessages.QueryConfig;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against VMs that serve an old configuration since all VMs of a region read a large one over the link between
 * regions at once, time out and begin again without end. Regions {@code east} and {@code west}; the store is in
 * {@code west}.
 */
class LargeConfigOverSlowLinkTest {
    private static final String KEY = "op/config";
    private static final int CONFIG_BYTES = 1_000_000;
    private static final long CONFIG_APPLY_MS = 4_000;
    private static final double LINK_MBIT_PER_S = 42;
    private static final long ENTRY_LEASE_MS = 2_000;
    private static final int VMS = 15;

    private final SimulatedTime time = new SimulatedTime();
    private final SharedLink link = new SharedLink(time, LINK_MBIT_PER_S);
    private final SimulatedConfigStore store = new SimulatedConfigStore(time, link, KEY);
    private final Random random = new Random(67);
    private final byte[] value = value();
    private final Map<String, Vm> vms = new LinkedHashMap<>();
    /** Confirmation times of the versions, by revision. */
    private final TreeMap<Long, Long> confirmedAtMs = new TreeMap<>();

    private final List<String> late = new ArrayList<>();

    /** Routes with random names, as large and about as compressible as an operators' configuration. */
    private static byte[] value() {
        Random names = new Random(1);
        StringBuilder json = new StringBuilder("{\"routes\":[");
        while (json.length() < CONFIG_BYTES) {
            json.append("{\"host\":\"%016x.example\",\"prefix\":\"/%08x/\",\"service\":\"s%d\",\"timeout_ms\":%d},"
                    .formatted(names.nextLong(), names.nextInt(), names.nextInt(9), 1_000 + names.nextInt(999)));
        }
        return json.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private final class Vm implements PrefixWatch.Listener, PeerMessenger {
        private final String id;
        private final int number;
        private final Records.Member member;
        private ControlView view = new ControlView(time);
        private ConfigRelay relay;
        private PrefixWatch watch;
        private long startedAtMs;
        private int incarnation;
        private boolean running;
        private boolean hanging;
        private long appliedRevision;

        private Vm(String region, int number) {
            this.number = number;
            id = region + "-" + number;
            String dataCentre = region + "-" + number % 3;
            // Two VMs of each data centre are strong.
            double strength = number < 6 ? 0.75 : 0.27;
            member = new Records.Member("10.0.0.1", 80, dataCentre, region, "1", strength, false);
            createRelay();
        }

        private void createRelay() {
            int current = ++incarnation;
            view = new ControlView(time);
            NodeIdentity self =
                    new NodeIdentity(id, "1", "10.0.0.1", 80, member.dataCentre(), member.region(), member.strength());
            relay = newRelay(self, current);
            watch = new PrefixWatch(time.vertx(), time, relay, KEY, 0, this, answered -> {});
        }

        private ConfigRelay newRelay(NodeIdentity self, int current) {
            return new ConfigRelay(
                    time.vertx(),
                    time,
                    store.client(member.region().equals("east"), () -> running && incarnation == current),
                    this,
                    view,
                    self,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(id.hashCode() + current));
        }

        private void start() {
            running = true;
            startedAtMs = time.nowMs();
            watch.start();
        }

        private void kill() {
            running = false;
            appliedRevision = 0;
            watch.close();
        }

        private void list(Collection<Vm> present) {
            view.onListed(present.stream().map(Vm::entry).toList());
        }

        private Item entry() {
            return new Item(StoreKeys.member(id), Records.encode(member), 1);
        }

        private void show(Vm other) {
            view.onChanged(other.entry());
        }

        private void hide(Vm other) {
            view.onChanged(new Item(StoreKeys.member(other.id), null, 2));
        }

        @Override
        public void onListed(List<Item> items) {
            items.forEach(this::onChanged);
        }

        @Override
        public void onChanged(Item item) {
            if (running && item.revision() > appliedRevision) {
                appliedRevision = item.revision();
            }
        }

        @Override
        public <T extends PeerMessage> void handle(Class<T> type, Handler<T> handler) {
            throw new UnsupportedOperationException("handle");
        }

        @Override
        public void send(String toVm, PeerMessage message) {
            throw new UnsupportedOperationException("send");
        }

        @Override
        @SuppressWarnings("unchecked")
        public <R extends PeerMessage> Future<Either<Failure, R>> request(
                String toVm, PeerMessage message, Class<R> replyType, long timeoutMs) {
            Promise<Either<Failure, R>> promise = Promise.promise();
            Vm peer = vms.get(toVm);
            time.after(
                    timeoutMs,
                    () -> promise.tryComplete(Either.left(Failure.outcomeUnknown("peer.request", toVm, "no reply"))));
            time.after(1, () -> {
                if (!peer.running) {
                    promise.tryComplete(Either.left(
                            Failure.retryable(ErrorCode.PEER_UNREACHABLE, "peer.request", toVm, "refused", 100)));
                } else if (!peer.hanging) {
                    peer.relay
                            .serve((QueryConfig) message)
                            .onSuccess(reply -> time.after(
                                    1 + transferMs(reply), () -> promise.tryComplete(reply.map(found -> (R) found))));
                }
            });
            return promise.future();
        }

        /** A weak VM has a link of 10 Mbit/s. */
        private long transferMs(Either<Failure, PeerMessage> reply) {
            return reply.isRight() && reply.get() instanceof ConfigReply sent ? sent.value().length / 1_250 : 0;
        }
    }

    @BeforeEach
    void createFleet() {
        store.put(value);
        for (String region : List.of("east", "west")) {
            for (int i = 0; i < VMS; i++) {
                Vm vm = new Vm(region, i);
                vms.put(vm.id, vm);
            }
        }
    }

    private void startAll() {
        vms.values().forEach(vm -> vm.list(vms.values()));
        vms.values().forEach(vm -> time.after(random.nextInt(500), vm::start));
        time.runUntil(6_000);
    }

    private void change() {
        long revision = store.put(value);
        long atMs = time.nowMs();
        confirmedAtMs.put(revision, atMs);
        time.after(CONFIG_APPLY_MS, () -> vms.values().stream()
                .filter(vm -> vm.running && !vm.hanging && vm.startedAtMs <= atMs)
                .filter(vm -> vm.appliedRevision < revision)
                .forEach(vm -> late.add(vm.id + " lacks the version confirmed at " + atMs)));
    }

    /** Three pairs of changes, 2 s apart, as the operators add and remove routes. */
    private void changeInPairs() {
        for (long atMs : new long[] {0, 2_000, 12_000, 14_000, 24_000, 26_000}) {
            time.after(atMs, this::change);
        }
    }

    /** Notes running VMs that aren't ready, several times a second from now on. */
    private void checkReadiness() {
        vms.values().stream()
                .filter(vm -> vm.running && !vm.hanging && !vm.relay.isFresh())
                .forEach(vm -> late.add(vm.id + " is not ready at " + time.nowMs()));
        time.after(50, this::checkReadiness);
    }

    private static Predicate<Vm> in(String region) {
        return vm -> vm.member.region().equals(region);
    }

    private double copiesOverLink() {
        return link.carriedBytes() / (CONFIG_BYTES * 4.0 / 3);
    }

    @ParameterizedTest
    @CsvSource({"15, 15", "15, 8", "8, 15"})
    void should_apply_each_version_in_time_while_the_link_carries_few_copies(int eastVms, int westVms) {
        // given
        vms.values().removeIf(in("east").and(vm -> vm.number >= eastVms));
        vms.values().removeIf(in("west").and(vm -> vm.number >= westVms));
        startAll();
        checkReadiness();
        double copiesBefore = copiesOverLink();

        // when
        changeInPairs();
        time.runUntil(time.nowMs() + 40_000);

        // then two readers fetch each of six versions
        assertThat(late).isEmpty();
        assertThat(copiesOverLink() - copiesBefore).isLessThan(13);
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void should_apply_each_version_in_time_when_readers_fail(boolean killed) {
        // given the two strongest VMs of the distant region, in two data centres
        startAll();
        checkReadiness();
        double copiesBefore = copiesOverLink();

        // when
        time.after(1_900, () -> {
            if (killed) {
                List.of("east-0", "east-1").forEach(id -> vms.get(id).kill());
                time.after(ENTRY_LEASE_MS, () -> vms.values().forEach(vm -> {
                    vm.hide(vms.get("east-0"));
                    vm.hide(vms.get("east-1"));
                }));
            } else {
                vms.get("east-0").hanging = true;
            }
        });
        changeInPairs();
        time.runUntil(time.nowMs() + 40_000);

        // then
        assertThat(late).isEmpty();
        assertThat(copiesOverLink() - copiesBefore).isLessThan(30);
    }

    @ParameterizedTest
    @CsvSource({"250, 200", "600, 100"})
    void should_apply_versions_in_time_that_follow_each_other_closely(int intervalMs, int versions) {
        // given
        startAll();
        double copiesBefore = copiesOverLink();

        checkReadiness();

        // when
        for (int i = 0; i < versions; i++) {
            time.after((long) i * intervalMs, this::change);
        }
        long burstMs = (long) versions * intervalMs;
        time.runUntil(time.nowMs() + burstMs);
        double linkShare = (copiesOverLink() - copiesBefore) * CONFIG_BYTES * 4 / 3 / (burstMs * LINK_MBIT_PER_S * 125);
        time.runUntil(time.nowMs() + 6_000);

        // then two readers take a quarter of the link each
        assertThat(late).isEmpty();
        assertThat(linkShare).isLessThan(0.55);
    }

    /** @param entriesRemain whether the entries of VMs are those of their earlier incarnations until they expire */
    @ParameterizedTest
    @CsvSource({"true", "false"})
    void should_read_the_configuration_in_time_when_all_vms_restart_at_once(boolean entriesRemain) {
        // given
        startAll();
        double copiesBefore = copiesOverLink();

        // when
        vms.values().forEach(Vm::kill);
        for (Vm vm : vms.values()) {
            vm.createRelay();
            time.after(500 + random.nextInt(1_000), () -> {
                vm.start();
                time.after(
                        20,
                        () -> vm.list(vms.values().stream()
                                .filter(other -> entriesRemain || other.running && other != vm)
                                .toList()));
                time.after(30, () -> vms.values().forEach(other -> other.show(vm)));
                time.after(CONFIG_APPLY_MS, () -> {
                    if (vm.appliedRevision == 0) {
                        late.add(vm.id + " has no configuration");
                    }
                });
            });
        }
        time.runUntil(time.nowMs() + 3_000);
        changeInPairs();
        time.runUntil(time.nowMs() + 40_000);

        // then
        assertThat(late).isEmpty();
        assertThat(copiesOverLink() - copiesBefore).isLessThan(30);
    }
}
