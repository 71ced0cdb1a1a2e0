package io.radishspindle.soak;

/** Entry point; holds no state. */
public final class Soak {
    private Soak() {}

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
