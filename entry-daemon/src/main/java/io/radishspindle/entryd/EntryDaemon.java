package io.radishspindle.entryd;

/** Entry point; holds no state. */
public final class EntryDaemon {
    private EntryDaemon() {}

    /** Starts the program. */
    public static void main(String[] args) {
        System.exit(0);
    }
}
