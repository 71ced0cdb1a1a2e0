package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.routing.History.Answered;
import io.radishspindle.routing.History.Disconnected;
import io.radishspindle.routing.History.DrainStarted;
import io.radishspindle.routing.History.EndpointLeaving;
import io.radishspindle.routing.History.Event;
import io.radishspindle.routing.History.Ran;
import io.radishspindle.routing.History.Received;
import io.radishspindle.routing.History.Refused;
import io.radishspindle.routing.History.Sent;
import io.radishspindle.routing.History.VmStopped;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks a history against the guarantees G3 to G7. The text of each violation starts with the guarantee.
 *
 * <ul>
 *   <li>G3: each call gets exactly one answer, and it is its own.
 *   <li>G4: a call that was refused as not run has not run.
 *   <li>G5: a request that is not idempotent runs at most once.
 *   <li>G6: an endpoint that is leaving gets no new work after a grace time of 3 s.
 *   <li>G7: the drain of a VM interrupts no call that the VM had accepted before.
 * </ul>
 */
final class HistoryChecker {
    private static final long LEAVING_GRACE_MS = 3_000;

    private final Map<Long, Sent> sent = new HashMap<>();
    private final Map<Long, Event> finalEvents = new HashMap<>();
    private final Map<String, Integer> runsByIdentity = new HashMap<>();
    private final Set<Long> ran = new HashSet<>();
    private final Map<String, Long> leavingSince = new HashMap<>();
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final Map<String, VmStopped> stoppedVms = new HashMap<>();
    private final Set<Long> disconnectedCalls = new HashSet<>();
    private final List<String> violations = new ArrayList<>();

    static List<String> check(History history) {
        HistoryChecker checker = new HistoryChecker();
        history.events().forEach(checker::observe);
        checker.sent.values().forEach(checker::checkCall);
        return checker.violations;
    }

    private void observe(Event event) {
        if (event instanceof Sent call) {
            sent.put(call.call(), call);
        } else if (event instanceof Received received) {
            received(received);
        } else if (event instanceof Ran run) {
            ran(run);
        } else if (event instanceof Answered answer) {
            answered(answer);
        } else if (event instanceof Refused refused) {
            recordFinal(refused.call(), refused);
        } else if (event instanceof Disconnected disconnected) {
            disconnectedCalls.add(disconnected.call());
        } else if (event instanceof EndpointLeaving leaving) {
            leavingSince.put(leaving.executor(), leaving.atMs());
        } else if (event instanceof DrainStarted draining) {
            drainingSince.put(draining.vm(), draining.atMs());
        } else if (event instanceof VmStopped stopped) {
            stoppedVms.put(stopped.vm(), stopped);
        }
    }

    private void received(Received received) {
        Long since = leavingSince.get(received.executor());
        if (since != null && received.atMs() > since + LEAVING_GRACE_MS) {
            violations.add(
                    "G6: " + received.executor() + " got work " + (received.atMs() - since) + " ms after leaving");
        }
    }

    private void ran(Ran run) {
        ran.add(run.call());
        Sent call = sent.get(run.call());
        int runs = runsByIdentity.merge(run.identity(), 1, Integer::sum);
        if (call != null && !call.idempotent() && runs > 1) {
            violations.add("G5: " + run.identity() + " ran " + runs + " times");
        }
    }

    private void answered(Answered answer) {
        Sent call = sent.get(answer.call());
        if (call == null || !answer.body().equals(History.answerTo(call.identity()))) {
            violations.add("G3: call " + answer.call() + " got \"" + answer.body() + '"');
        }
        recordFinal(answer.call(), answer);
    }

    private void recordFinal(long call, Event event) {
        if (finalEvents.put(call, event) != null) {
            violations.add("G3: call " + call + " was answered twice");
        }
    }

    private void checkCall(Sent call) {
        Event end = finalEvents.get(call.call());
        if (end instanceof Refused refused && refused.failure().notRun() && ran.contains(call.call())) {
            violations.add("G4: call " + call.call() + " ran although refused: " + refused.failure());
        }
        if (disconnectedCalls.contains(call.call())) {
            return;
        }
        VmStopped vmStopped = stoppedVms.get(call.vm());
        Long drain = drainingSince.get(call.vm());
        if (drain != null && call.atMs() < drain && isInterrupted(end) && (vmStopped == null || !vmStopped.crashed())) {
            violations.add("G7: call " + call.call() + " was interrupted by the drain of " + call.vm());
        } else if (end == null && vmStopped == null) {
            violations.add("G3: call " + call.call() + " got no answer");
        }
    }

    private static boolean isInterrupted(Event end) {
        return end == null
                || (end instanceof Refused refused && refused.failure().code() == ErrorCode.SHUTTING_DOWN);
    }
}
