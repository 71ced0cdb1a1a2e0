package io.radishspindle.routing;

import io.radishspindle.error.Failure;
import java.util.ArrayList;
import java.util.List;

/** Observations of callers, executors and VMs, in the order of time. */
final class History {
    /** One observation. */
    sealed interface Event {}

    /**
     * A caller sent a request.
     *
     * @param identity the same for repeats with one idempotency key, otherwise unique
     */
    record Sent(long call, String identity, boolean idempotent, String vm, long atMs) implements Event {}

    /** An executor received a request, whether or not it ran it. */
    record Received(String executor, long call, long atMs) implements Event {}

    /** An executor began to run a request. */
    record Ran(String executor, long call, String identity, long atMs) implements Event {}

    /** A caller received an answer. */
    record Answered(long call, String body, long atMs) implements Event {}

    /** A caller received a failure. */
    record Refused(long call, Failure failure, long atMs) implements Event {}

    /** A caller closed its connection. */
    record Disconnected(long call, long atMs) implements Event {}

    /** An endpoint began to leave. */
    record EndpointLeaving(String executor, long atMs) implements Event {}

    /** An entry VM began its drain. */
    record DrainStarted(String vm, long atMs) implements Event {}

    /** An entry VM ended its process, after a drain or by a crash. */
    record VmStopped(String vm, boolean crashed, long atMs) implements Event {}

    private final List<Event> events = new ArrayList<>();

    void add(Event event) {
        events.add(event);
    }

    List<Event> events() {
        return events;
    }

    static String answerTo(String identity) {
        return "answer to " + identity + " end";
    }
}
