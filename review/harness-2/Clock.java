/** Milliseconds since the start of the script. */
final class Clock {
    private static final long START_NANOS = System.nanoTime();

    private Clock() {}

    static long ms() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }
}
