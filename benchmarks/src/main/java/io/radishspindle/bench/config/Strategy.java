package io.radishspindle.bench.config;

/** A way in which a changed configuration reaches all entry VMs. */
enum Strategy {
    /** Each VM keeps a watch on the store. */
    WATCH_PER_VM("one watch for each VM", 0),
    /** One VM of each data centre keeps a watch and passes documents on. */
    RELAY("one watch for each data centre with relay", 0),
    /** Each VM reads the document once in 4 s, so that a change is in force within 5 s. */
    POLLING("each VM polls every 4 s", 4_000),
    /** One VM of each data centre reads the document once in 4 s and passes it on. */
    POLLING_RELAY("one VM of each data centre polls every 4 s with relay", 4_000);

    private final String description;
    private final long pollMs;

    Strategy(String description, long pollMs) {
        this.description = description;
        this.pollMs = pollMs;
    }

    String description() {
        return description;
    }

    long pollMs() {
        return pollMs;
    }

    boolean relays() {
        return this == RELAY || this == POLLING_RELAY;
    }

    boolean polls() {
        return pollMs > 0;
    }
}
