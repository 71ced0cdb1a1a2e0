package io.radishspindle.routing;

/**
 * Faults of a simulation, as probabilities per request, answer, probe or store call.
 *
 * @param scheduledEvents endpoints leave and hang, VMs pause, crash and drain
 */
record SimFaults(
        double refuseConnection,
        double breakBeforeRun,
        double breakAfterRun,
        double lateAnswer,
        double loseForward,
        double loseProbe,
        double callerDisconnects,
        double loseStoreAnswer,
        boolean scheduledEvents) {
    static final SimFaults NONE = new SimFaults(0, 0, 0, 0, 0, 0, 0, 0, false);
    static final SimFaults ALL = new SimFaults(0.03, 0.02, 0.03, 0.03, 0.02, 0.05, 0.05, 0.1, true);
}
