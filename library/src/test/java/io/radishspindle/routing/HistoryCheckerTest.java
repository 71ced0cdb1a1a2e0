package io.radishspindle.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.routing.History.Answered;
import io.radishspindle.routing.History.Draining;
import io.radishspindle.routing.History.Ended;
import io.radishspindle.routing.History.Event;
import io.radishspindle.routing.History.Leaving;
import io.radishspindle.routing.History.Ran;
import io.radishspindle.routing.History.Received;
import io.radishspindle.routing.History.Refused;
import io.radishspindle.routing.History.Sent;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against a checker that finds nothing: each kind of breach is fed to it. */
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

    static Stream<Arguments> breaches() {
        return Stream.of(
                breach("G3", POST, new Answered(1, History.answerTo("b"), 200)),
                breach("G3", POST, new Answered(1, "answer to a", 200)),
                breach("G3", POST, GOOD, GOOD),
                breach("G3", POST),
                breach("G4", POST, new Ran("e", 1, "a", 150), new Refused(1, NOT_RUN, 200)),
                breach("G4", POST, new Refused(1, NOT_RUN, 200), new Ran("e", 1, "a", 250)),
                breach("G5", POST, new Ran("e", 1, "a", 150), new Ran("f", 1, "a", 160), GOOD),
                breach("G6", new Leaving("e", 0), POST, new Received("e", 1, 3_001), GOOD),
                breach("G7", POST, new Draining("vm1", 150), new Ended("vm1", false, 160)),
                breach("G7", POST, new Draining("vm1", 150), new Refused(1, STOPPED, 150)));
    }

    private static Arguments breach(String guarantee, Event... events) {
        return Arguments.of(guarantee, events);
    }

    @ParameterizedTest
    @MethodSource("breaches")
    void should_report_breach(String guarantee, Event[] events) {
        assertThat(check(events)).hasSize(1).allMatch(violation -> violation.startsWith(guarantee));
    }

    @Test
    void should_accept_what_the_guarantees_allow() {
        Failure unknown = Failure.outcomeUnknown("test", "e", "broken");
        assertThat(check(POST, new Ran("e", 1, "a", 150), GOOD)).isEmpty();
        assertThat(check(POST, new Ran("e", 1, "a", 150), new Refused(1, unknown, 160)))
                .isEmpty();
        assertThat(check(POST, new Refused(1, NOT_RUN, 160))).isEmpty();
        assertThat(check(POST, new Ended("vm1", true, 160))).isEmpty();
        assertThat(check(new Draining("vm1", 50), POST, new Refused(1, STOPPED, 160)))
                .isEmpty();
        assertThat(check(new Leaving("e", 0), POST, new Received("e", 1, 2_999), GOOD))
                .isEmpty();
        Sent get = new Sent(1, "a", true, "vm1", 100);
        assertThat(check(get, new Ran("e", 1, "a", 150), new Ran("f", 1, "a", 160), GOOD))
                .isEmpty();
    }
}
