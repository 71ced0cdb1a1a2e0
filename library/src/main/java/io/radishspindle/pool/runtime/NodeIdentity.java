package io.radishspindle.pool.runtime;

/**
 * This process. Immutable and thread-safe.
 *
 * @param boot differs between two processes of the same VM
 * @param peerPort port of the inner protocol
 * @param strength processors in cores, less where the link is narrow
 */
public record NodeIdentity(
        String vmId, String boot, String host, int peerPort, String dataCentre, String region, double strength) {}
