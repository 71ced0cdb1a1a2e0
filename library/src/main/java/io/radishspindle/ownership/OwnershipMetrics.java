package io.radishspindle.ownership;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counters of the ownership of groups at one entry VM. Thread-safe. */
final class OwnershipMetrics {
    private final Counter takeovers;
    private final Counter authorityLost;
    private final Counter caretakers;
    private final Counter journalWrites;
    private final Counter journalBytes;
    private final Counter storeWrites;
    private final Counter storeBytes;
    private final Counter controlMessages;
    private final Counter workersLost;

    OwnershipMetrics(MetricRegistry registry) {
        takeovers = registry.counter("ownership.takeovers");
        authorityLost = registry.counter("ownership.authority-lost");
        caretakers = registry.counter("ownership.caretaker-terms");
        journalWrites = registry.counter("ownership.journal.writes");
        journalBytes = registry.counter("ownership.journal.bytes");
        storeWrites = registry.counter("ownership.store.writes");
        storeBytes = registry.counter("ownership.store.bytes");
        controlMessages = registry.counter("ownership.control-messages");
        workersLost = registry.counter("ownership.workers-lost");
    }

    void takeover() {
        takeovers.inc();
    }

    void authorityLost() {
        authorityLost.inc();
    }

    void caretakerTerm() {
        caretakers.inc();
    }

    void journalWrite(int bytes) {
        journalWrites.inc();
        journalBytes.inc(bytes);
    }

    void storeWrite(int bytes) {
        storeWrites.inc();
        storeBytes.inc(bytes);
    }

    void controlMessage() {
        controlMessages.inc();
    }

    void workerLost() {
        workersLost.inc();
    }
}
