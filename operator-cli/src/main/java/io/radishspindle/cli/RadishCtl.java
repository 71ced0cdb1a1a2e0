package io.radishspindle.cli;

/** Entry point; holds no state. */
public final class RadishCtl {
    private RadishCtl() {}

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
