package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against retries that load a congested link, and against runs that are given up late for want of a retry. */
class HoldRetriesTest {
    private static final long EXPIRED_MS = 0;
    private static final long NOW_MS = 10_000;

    private final HoldRetries retries = new HoldRetries();

    private long[] delays(int count, boolean silent, long leasesEndMs) {
        return LongStream.range(0, count)
                .map(i -> retries.delayMs("w", silent, leasesEndMs, NOW_MS))
                .toArray();
    }

    @Test
    void should_double_the_delays_to_a_silent_worker() {
        assertThat(delays(6, true, EXPIRED_MS)).containsExactly(120, 240, 480, 960, 960, 960);
    }

    @Test
    void should_keep_the_delay_to_a_worker_that_refuses_connections() {
        assertThat(delays(4, false, EXPIRED_MS)).containsExactly(120, 120, 120, 120);
    }

    @Test
    void should_begin_again_once_the_worker_has_answered() {
        // given
        delays(4, true, EXPIRED_MS);

        // when
        retries.onAnswered("w");

        // then
        assertThat(delays(2, true, EXPIRED_MS)).containsExactly(120, 240);
    }

    @Test
    void should_retry_once_all_leases_have_expired() {
        // given
        delays(4, true, EXPIRED_MS);

        // then
        assertThat(delays(1, true, NOW_MS + 300)).containsExactly(300);
        assertThat(delays(1, true, NOW_MS)).containsExactly(960);
    }
}
