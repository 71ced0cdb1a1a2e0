package io.radishspindle.pool.core;

/**
 * When a waiting task or gang has precedence for the quota of its tenant: from some time after it became ready, in
 * periods that alternate with pauses. Smaller tasks would otherwise use up the room again and again, and a unit that
 * can't start for another reason would otherwise hold up all other work of the tenant. Stateless; thread-safe.
 */
final class RoomPeriods {
    /** Wait before the first period, in milliseconds. */
    private static final long KEEP_ROOM_AFTER_MS = 1_000;
    /** Length of a period and of a pause, in milliseconds; short of the 3 s after which waiting jobs count as lost. */
    private static final long PERIOD_MS = 2_000;

    private RoomPeriods() {}

    static boolean hasPrecedence(StepState step, long nowMs) {
        long sinceMs = nowMs - step.readySinceMs - KEEP_ROOM_AFTER_MS;
        return sinceMs > 0 && sinceMs / PERIOD_MS % 2 == 0;
    }
}
