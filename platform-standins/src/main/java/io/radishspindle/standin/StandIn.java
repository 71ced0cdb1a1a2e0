package io.radishspindle.standin;

/** Entry point; holds no state. */
public final class StandIn {
    private StandIn() {}

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
