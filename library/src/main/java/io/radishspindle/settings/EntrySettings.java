package io.radishspindle.settings;

import java.util.List;

/**
 * Settings of one entry VM. Immutable and thread-safe. Durations appear only here; they become deadlines when used.
 */
public record EntrySettings(
        Vm vm, Listen listen, Peers peers, Platform platform, Ownership ownership, Routing routing) {

    /** Section {@code [vm]}. */
    public record Vm(String id, String dataCentre, String region, String host) {}

    /** Section {@code [listen]}; TCP ports. */
    public record Listen(int callersPort, int operatorsPort, int peersPort) {}

    /**
     * Section {@code [peers]}.
     *
     * @param seeds other entry VMs that are contacted first
     * @param regions region of each data centre, as {@code data-centre:region}
     * @param sharedKey key for the authentication of peers
     */
    public record Peers(
            List<Seed> seeds,
            List<String> regions,
            String sharedKey,
            long heartbeatMs,
            long remoteHeartbeatMs,
            long suspectAfterMs,
            long deadAfterMs) {}

    /** An entry VM, written as {@code id@data-centre=host:port}. */
    public record Seed(String id, String dataCentre, String host, int port) {}

    /** Section {@code [platform]}. */
    public record Platform(
            String storeHost, int storePort, String vmListHost, int vmListPort, long vmListPollMs, long timeoutMs) {}

    /** Section {@code [ownership]}; see docs/design.md, section 3. */
    public record Ownership(
            int groupsPerDataCentre, long heartbeatMs, long controlLeaseMs, long runLeaseMs, long marginMs) {}

    /** Section {@code [routing]}; see docs/design.md, sections 6 and 7. */
    public record Routing(
            long defaultDeadlineMs,
            long maxDeadlineMs,
            int maxQueuedPerService,
            int maxQueuedPerCaller,
            int maxBodyBytes,
            int maxAttempts,
            double retryBudget,
            long remoteWorthItMs,
            long probeMs,
            long drainMs) {}
}
