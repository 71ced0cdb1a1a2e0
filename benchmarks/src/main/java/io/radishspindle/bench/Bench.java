package io.radishspindle.bench;

/** Entry point; holds no state. */
public final class Bench {
    private Bench() {}

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
