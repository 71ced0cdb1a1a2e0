package io.radishspindle.pool.runtime;

import io.radishspindle.platform.Clock;
import java.util.HashMap;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Rate limiter for log lines, per event name, so that a recurring fault can't use up the processor. Suppressed lines
 * are counted and reported. Confined to one event loop.
 */
public final class BoundedLog {
    /** Lines of one event per second; about three times the rate of the most frequent event of a large deployment. */
    private static final int MAX_LINES = 150;

    private static final long WINDOW_MS = 1_000;

    /** Counts of one event in its current window. */
    private static final class Window {
        long startMs;
        int lines;
        int suppressed;
    }

    private final Clock clock;
    private final Map<String, Window> windows = new HashMap<>();

    /** Creates a limiter without counts. */
    public BoundedLog(Clock clock) {
        this.clock = clock;
    }

    /** Whether a line of the event may be written now; otherwise it is counted as suppressed. */
    public boolean allows(String event) {
        Window window = windows.computeIfAbsent(event, ignored -> new Window());
        long nowMs = clock.nowMs();
        if (nowMs - window.startMs >= WINDOW_MS) {
            if (window.suppressed > 0) {
                Logger.warn("event=log-suppressed of={} lines={}", event, window.suppressed);
            }
            window.startMs = nowMs;
            window.lines = 0;
            window.suppressed = 0;
        }
        if (window.lines >= MAX_LINES) {
            window.suppressed++;
            return false;
        }
        window.lines++;
        return true;
    }
}
