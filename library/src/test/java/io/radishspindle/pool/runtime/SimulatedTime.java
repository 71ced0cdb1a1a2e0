package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import java.lang.reflect.Proxy;
import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/** Clock and timers whose time passes only while {@link #runUntil} runs. Not thread-safe. */
final class SimulatedTime implements Clock {
    private record Event(long atMs, long id, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::id));
    private final Set<Long> cancelled = new HashSet<>();
    private long nowMs;
    private long lastId;

    long after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, ++lastId, action));
        return lastId;
    }

    void cancel(long id) {
        cancelled.add(id);
    }

    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event next = events.remove();
            nowMs = next.atMs();
            if (!cancelled.remove(next.id())) {
                next.action().run();
            }
        }
        nowMs = endMs;
    }

    /** A Vert.x that has one-shot timers only. */
    @SuppressWarnings("unchecked")
    Vertx vertx() {
        return (Vertx) Proxy.newProxyInstance(
                Vertx.class.getClassLoader(), new Class<?>[] {Vertx.class}, (proxy, method, arguments) -> {
                    if (method.getName().equals("setTimer")) {
                        Handler<Long> handler = (Handler<Long>) arguments[1];
                        return after((Long) arguments[0], () -> handler.handle(0L));
                    }
                    if (method.getName().equals("cancelTimer")) {
                        cancel((Long) arguments[0]);
                        return true;
                    }
                    throw new UnsupportedOperationException(method.getName());
                });
    }

    @Override
    public long nowMs() {
        return nowMs;
    }

    @Override
    public long wallMs() {
        return nowMs;
    }
}
