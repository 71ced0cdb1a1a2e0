import java.util.function.BooleanSupplier;

/** Waits for a condition. */
final class Wait {
    private Wait() {}

    /** Returns whether the condition held within the time. */
    static boolean until(Recorder record, long limitMs, BooleanSupplier condition) throws InterruptedException {
        long untilMs = record.nowMs() + limitMs;
        while (!condition.getAsBoolean()) {
            if (record.nowMs() > untilMs) {
                return false;
            }
            Thread.sleep(20);
        }
        return true;
    }
}
