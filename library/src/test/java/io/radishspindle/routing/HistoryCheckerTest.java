package io.radishspindle.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.routing.History.Answered;
import io.radishspindle.routing.History.DrainStarted;
import io.radishspindle.routing.History.EndpointLeaving;
import io.radishspindle.routing.History.Event;
import io.radishspindle.routing.History.Ran;
import io.radishspindle.routing.History.Received;
import io.radishspindle.routing.History.Refused;
import io.radishspindle.routing.History.Sent;
import io.radishspindle.routing.History.VmStopped;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a checker that misses violations: it must report each kind of violation in a short history. */
class HistoryCheckerTest {
    private static final Sent POST = new Sent(1, "a", false, "vm1", 100);
    private static final Failure NOT_RUN = Failure.rejected(ErrorCode.OVERLOADED, "test", "full");
    private static final Failure STOPPED = Failure.rejected(ErrorCode.SHUTTING_DOWN, "test", "stopping");
    private static final Answered GOOD = new Answered(1, History.answerTo("a"), 200);

    private static List<String> check(Event... events) {
        History history = new History();
        Stream.of(events).forEach(history::add);
        return HistoryChecker.check(history);
    }

    static Stream<Arguments> violations() {
        return Stream.of(
                violation("G3", POST, new Answered(1, History.answerTo("b"), 200)),
                violation("G3", POST, new Answered(1, "answer to a", 200)),
                violation("G3", POST, GOOD, GOOD),
                violation("G3", POST),
                violation("G4", POST, new Ran("e", 1, "a", 150), new Refused(1, NOT_RUN, 200)),
                violation("G4", POST, new Refused(1, NOT_RUN, 200), new Ran("e", 1, "a", 250)),
                violation("G5", POST, new Ran("e", 1, "a", 150), new Ran("f", 1, "a", 160), GOOD),
                violation("G6", new EndpointLeaving("e", 0), POST, new Received("e", 1, 3_001), GOOD),
                violation("G7", POST, new DrainStarted("vm1", 150), new VmStopped("vm1", false, 160)),
                violation("G7", POST, new DrainStarted("vm1", 150), new Refused(1, STOPPED, 150)));
    }

    private static Arguments violation(String guarantee, Event... events) {
        return Arguments.of(guarantee, events);
    }

    @ParameterizedTest
    @MethodSource("violations")
    void should_report_violation(String guarantee, Event[] events) {
        assertThat(check(events)).hasSize(1).allMatch(violation -> violation.startsWith(guarantee));
    }

    @Test
    void should_accept_what_the_guarantees_allow() {
        Failure unknown = Failure.outcomeUnknown("test", "e", "broken");
        assertThat(check(POST, new Ran("e", 1, "a", 150), GOOD)).isEmpty();
        assertThat(check(POST, new Ran("e", 1, "a", 150), new Refused(1, unknown, 160)))
                .isEmpty();
        assertThat(check(POST, new Refused(1, NOT_RUN, 160))).isEmpty();
        assertThat(check(POST, new VmStopped("vm1", true, 160))).isEmpty();
        assertThat(check(new DrainStarted("vm1", 50), POST, new Refused(1, STOPPED, 160)))
                .isEmpty();
        assertThat(check(new EndpointLeaving("e", 0), POST, new Received("e", 1, 2_999), GOOD))
                .isEmpty();
        Sent get = new Sent(1, "a", true, "vm1", 100);
        assertThat(check(get, new Ran("e", 1, "a", 150), new Ran("f", 1, "a", 160), GOOD))
                .isEmpty();
    }
}
