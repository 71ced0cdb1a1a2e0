package io.radishspindle.pool.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against sound tasks that are blamed for the crash of another task as the wrong delay was learned. */
class CrashDelaysTest {
    @ParameterizedTest
    @CsvSource({"0, true", "9, true", "10, true", "22, true", "125, true", "126, false"})
    void should_leave_out_runs_that_are_older_than_in_earlier_crashes(long ageMs, boolean expected) {
        // given
        CrashDelays delays = delaysOf(20, 25, 22);

        // when
        boolean agrees = delays.agreesWith(ageMs);

        // then
        assertThat(agrees).isEqualTo(expected);
    }

    @Test
    void should_leave_out_no_run_before_some_delays_are_known() {
        // given
        CrashDelays delays = delaysOf(20, 20);

        // then
        assertThat(delays.agreesWith(PoolTiming.START_PROOF_MS)).isTrue();
        assertThat(delays.boundMs()).isEqualTo(PoolTiming.START_PROOF_MS);
    }

    @Test
    void should_not_leave_out_runs_that_are_as_old_as_the_slowest_of_two_kinds_of_crashes() {
        // given
        CrashDelays delays = delaysOf(20, 20, 250, 20);

        // then
        assertThat(delays.agreesWith(250)).isTrue();
        assertThat(delays.boundMs()).isEqualTo(PoolTiming.START_PROOF_MS);
    }

    private static CrashDelays delaysOf(long... delaysMs) {
        CrashDelays delays = new CrashDelays();
        LongStream.of(delaysMs).forEach(delays::add);
        return delays;
    }
}
