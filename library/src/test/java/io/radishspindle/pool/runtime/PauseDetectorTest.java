package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.platform.Clock;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an owner that acts on a state from before a pause of its process. */
class PauseDetectorTest {
    private long nowMs = 1_000;
    private long wallMs = 1_700_000_000_000L;

    private final Clock clock = new Clock() {
        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public long wallMs() {
            return wallMs;
        }
    };

    @ParameterizedTest
    @CsvSource({
        "50, 50, 0", // usual time between two passes
        "1400, 1400, 0", // a busy machine
        "4000, 4000, 4000", // stopped by a signal
        "50, 10000, 10000", // suspended with its machine
        "50, -5000, 0" // the wall clock was set back
    })
    void should_distinguish_pauses_from_high_load(long monotonicMs, long wallClockMs, long pauseMs) {
        // given
        PauseDetector detector = new PauseDetector(clock);

        // when
        nowMs += monotonicMs;
        wallMs += wallClockMs;

        // then
        assertThat(detector.check()).isEqualTo(pauseMs);
        assertThat(detector.check()).isZero();
    }
}
