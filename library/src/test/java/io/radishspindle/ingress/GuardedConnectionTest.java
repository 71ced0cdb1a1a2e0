package io.radishspindle.ingress;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.embedded.EmbeddedChannel;
import io.radishspindle.platform.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against memory that is not charged or stays charged, and against trickles that keep a connection open. */
class GuardedConnectionTest {
    private static final IngressTimeouts TIMEOUTS = new IngressTimeouts(1_000, 2_000, 3_000, 4_000, 5_000);

    private final FakeClock clock = new FakeClock();
    private final MetricRegistry metrics = new MetricRegistry();
    private final IngressLog log = new IngressLog(clock, metrics);

    private static final class FakeClock implements Clock {
        long nowMs = 10_000;

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallMs() {
            return nowMs;
        }
    }

    private GuardedConnection connect(MemoryBudget budget) {
        GuardedConnection connection = new GuardedConnection(clock, new EmbeddedChannel(), 80, TIMEOUTS, budget, log);
        budget.add(connection);
        return connection;
    }

    private static void receive(GuardedConnection connection, int bytes) {
        connection.onHeld(bytes);
        connection.onReleased(bytes);
    }

    static Stream<Arguments> trickles() {
        return Stream.of(
                trickle("header-time", connection -> {}, connection -> receive(connection, 1)),
                trickle("body-time", connection -> connection.onRequest(0), connection -> connection.onBody(1)),
                trickle(
                        "discard-time",
                        connection -> {
                            connection.onRequest(0);
                            connection.onResponse();
                        },
                        connection -> connection.onBody(1)),
                trickle(
                        "response-time",
                        connection -> {
                            connection.onRequest(0);
                            connection.onRequestEnd();
                            connection.onOutput(100);
                            connection.onResponse();
                        },
                        connection -> connection.onOutput(-1)));
    }

    private static Arguments trickle(
            String limit, Consumer<GuardedConnection> begin, Consumer<GuardedConnection> trickle) {
        return Arguments.of(limit, begin, trickle);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("trickles")
    void should_end_a_trickle_at_its_deadline(
            String limit, Consumer<GuardedConnection> begin, Consumer<GuardedConnection> trickle) {
        // given
        MemoryBudget budget = new MemoryBudget(clock, Long.MAX_VALUE);
        GuardedConnection connection = connect(budget);
        begin.accept(connection);
        // when
        for (int i = 0; i < 50; i++) {
            clock.nowMs += 100;
            trickle.accept(connection);
            connection.checkDeadline(clock.nowMs);
        }
        // then
        assertThat(metrics.getCounters().keySet()).containsExactly("callers.limited." + limit);
        assertThat(budget.occupiedBytes()).isZero();
    }

    /** Any order of events leaves the sum equal to what the connections occupy, and nothing once they are closed. */
    @ParameterizedTest
    @MethodSource("seeds")
    void should_charge_exactly_what_connections_occupy(long seed) {
        Random random = new Random(seed);
        MemoryBudget budget = new MemoryBudget(clock, 400_000);
        List<GuardedConnection> connections = new ArrayList<>();
        for (int i = 0; i < 3_000; i++) {
            if (connections.size() < 12) {
                connections.add(connect(budget));
            }
            GuardedConnection connection = connections.get(random.nextInt(connections.size()));
            clock.nowMs += random.nextInt(20);
            switch (random.nextInt(8)) {
                case 0 -> receive(connection, random.nextInt(200));
                case 1 -> connection.onRequest(random.nextInt(1_000));
                case 2 -> connection.onBody(random.nextInt(20_000));
                case 3 -> connection.onRequestEnd();
                case 4 -> connection.onResponse();
                case 5 -> connection.onGiveWay(connection::onResponse);
                case 6 -> connection.checkDeadline(clock.nowMs);
                default -> {
                    if (random.nextInt(10) == 0) {
                        connection.close();
                        connections.remove(connection);
                    }
                }
            }
            long occupied = connections.stream()
                    .filter(each -> !each.isClosed())
                    .mapToLong(GuardedConnection::occupiedBytes)
                    .sum();
            assertThat(budget.occupiedBytes()).isEqualTo(occupied);
            assertThat(connections).allMatch(each -> each.occupiedBytes() >= GuardedConnection.CONNECTION_BYTES);
            if (budget.occupiedBytes() > budget.maxBytes()) {
                assertThat(connections).noneMatch(MemoryBudget.Occupant::canGiveWay);
            }
        }
        connections.forEach(GuardedConnection::close);
        assertThat(budget.occupiedBytes()).isZero();
    }

    static IntStream seeds() {
        return IntStream.rangeClosed(1, 20);
    }

    @Test
    void should_release_what_a_request_occupied_once_it_has_its_response() {
        // given
        MemoryBudget budget = new MemoryBudget(clock, Long.MAX_VALUE);
        GuardedConnection connection = connect(budget);
        receive(connection, 300);
        connection.onRequest(1_000);
        connection.onBody(1_000);
        connection.onRequestEnd();
        assertThat(budget.occupiedBytes()).isGreaterThan(8_000);
        // when
        connection.onResponse();
        // then
        assertThat(budget.occupiedBytes()).isEqualTo(GuardedConnection.CONNECTION_BYTES);
    }

    /** A second request, whose body arrives meanwhile, must not end the first one. */
    @Test
    void should_not_give_way_while_an_earlier_request_is_served() {
        // given
        GuardedConnection connection = connect(new MemoryBudget(clock, Long.MAX_VALUE));
        connection.onRequest(0);
        connection.onRequestEnd();
        // when
        connection.onRequest(1_000);
        // then
        assertThat(connection.canGiveWay()).isFalse();
        assertThat(connection.isBusy()).isTrue();
        // when
        connection.onResponse();
        // then
        assertThat(connection.canGiveWay()).isTrue();
        assertThat(connection.isBusy()).isFalse();
    }

    /** Which of two connections gives way, by what they do and when they last made progress. */
    @Test
    void should_let_a_stalled_request_give_way_before_a_newer_one_and_an_idle_connection() {
        // given
        MemoryBudget budget = new MemoryBudget(clock, Long.MAX_VALUE);
        GuardedConnection idle = connect(budget);
        GuardedConnection served = connect(budget);
        served.onRequest(0);
        served.onRequestEnd();
        clock.nowMs += 10;
        GuardedConnection stalled = connect(budget);
        stalled.onRequest(0);
        clock.nowMs += 1_500;
        GuardedConnection arriving = connect(budget);
        arriving.onRequest(0);
        List<GuardedConnection> all = List.of(idle, served, stalled, arriving);
        // then
        for (GiveWayOrder order : GiveWayOrder.values()) {
            assertThat(order.first(all, clock.nowMs)).isSameAs(stalled);
        }
        assertThat(GiveWayOrder.MEMORY.first(List.of(idle, served, arriving), clock.nowMs))
                .isSameAs(arriving);
        assertThat(GiveWayOrder.CONNECTIONS.first(List.of(idle, served, arriving), clock.nowMs))
                .isSameAs(idle);
        assertThat(GiveWayOrder.MEMORY.first(List.of(served), clock.nowMs)).isNull();
    }
}
