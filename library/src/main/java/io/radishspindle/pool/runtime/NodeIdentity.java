package io.radishspindle.pool.runtime;

/**
 * Identity and address of this process. Immutable and thread-safe.
 *
 * @param boot identifies the incarnation: differs between two processes of the same VM
 * @param peerPort port of the protocol between VMs
 * @param strength capacity to own pools: processor cores, reduced if the network link is slow
 */
public record NodeIdentity(
        String vmId, String boot, String host, int peerPort, String dataCentre, String region, double strength) {}
