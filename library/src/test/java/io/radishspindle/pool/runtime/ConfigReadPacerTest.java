package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against reads that fill a link, and against pauses that delay a small configuration. */
class ConfigReadPacerTest {
    private final ManualClock clock = new ManualClock();
    private final ConfigReadPacer pacer = new ConfigReadPacer(clock, RandomSource.XO_RO_SHI_RO_128_PP.create(1));

    /** A watch of 800 ms doesn't tell how much of it was waiting; its size bounds the time of the transfer. */
    @ParameterizedTest
    @CsvSource({
        "5, 20000, 0, 0",
        "800, 4000, 0, 0",
        "250, 1000000, 0, 750",
        "250, 1000000, 50, 900",
        "900, 100000, 0, 240",
        "900, 1000000, 0, 1000",
        "800, 0, 300, 0"
    })
    void should_pause_for_a_multiple_of_the_time_that_a_version_took(
            long elapsedMs, long bytes, long applyMs, long pauseMs) {
        pacer.onSuccess(elapsedMs, bytes);
        clock.nowMs += applyMs;

        assertThat(pacer.delayMs(1_000)).isEqualTo(pauseMs);
        assertThat(pacer.delayMs(1_000)).isZero();
    }

    @Test
    void should_repeat_failed_reads_ever_later_up_to_a_bound() {
        for (long boundMs : new long[] {200, 400, 800, 1_000, 1_000}) {
            pacer.onFailure();

            assertThat(pacer.delayMs(1_000)).isBetween(boundMs / 2, boundMs);
            clock.nowMs += boundMs;
            assertThat(pacer.delayMs(1_000)).isZero();
        }

        pacer.onSuccess(5, 0);
        pacer.onFailure();
        assertThat(pacer.delayMs(1_000)).isBetween(100L, 200L);
    }
}
