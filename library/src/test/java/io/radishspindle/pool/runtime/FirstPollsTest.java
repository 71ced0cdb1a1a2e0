package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against registrations without a worker that take all connections or all turns of the real workers. */
class FirstPollsTest {
    private final Vertx vertx = Vertx.vertx();
    private final List<String> polled = new ArrayList<>();
    private final FirstPolls polls = new FirstPolls(vertx, this::poll);
    private boolean unregistered;

    @AfterEach
    void closeVertx() {
        vertx.close().await();
    }

    private void poll(String worker) {
        polled.add(worker);
        if (unregistered) {
            polls.onAnswered(worker);
        }
    }

    private void add(int count) {
        for (int i = 0; i < count; i++) {
            polls.add("w" + i);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, FirstPolls.MAX_IN_FLIGHT, 10_000})
    void should_limit_the_polls_in_flight(int count) {
        add(count);

        assertThat(polled).hasSize(Math.min(count, FirstPolls.MAX_IN_FLIGHT));
    }

    @Test
    void should_poll_every_registration_before_one_is_polled_again() throws TimeoutException {
        // given
        int count = 1_000;
        add(count);

        // when on the event loop, where the timers of the polls run
        Promise<Set<String>> first = Promise.promise();
        vertx.runOnContext(ignored -> {
            for (int i = 0; i < count; i++) {
                polls.onFailed(polled.get(i));
            }
            first.complete(new HashSet<>(polled.subList(0, count)));
        });

        // then
        assertThat(first.future().await(10, TimeUnit.SECONDS)).hasSize(count);
    }

    /** Guards against a StackOverflowError when many entries are removed at once. */
    @Test
    void should_pass_over_any_number_of_workers_that_are_not_registered_any_more() {
        // given
        int count = 100_000;
        add(count);

        // when
        unregistered = true;
        polls.onAnswered("w0");

        // then
        assertThat(polled).hasSize(count);
    }

    @Test
    void should_go_on_with_the_next_one_once_a_worker_has_answered() {
        // given
        add(FirstPolls.MAX_IN_FLIGHT + 1);

        // when
        polls.onAnswered("w0");

        // then
        assertThat(polls.isInFlight("w0")).isFalse();
        assertThat(polls.isInFlight("w" + FirstPolls.MAX_IN_FLIGHT)).isTrue();
    }
}
