package io.radishspindle.demo;

/** Entry point; holds no state. */
public final class Demo {
    private Demo() {}

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
