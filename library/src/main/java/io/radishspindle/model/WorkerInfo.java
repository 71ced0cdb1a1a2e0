package io.radishspindle.model;

/**
 * A worker as the VM list describes it. Immutable and thread-safe.
 *
 * @param host IP number of the worker's control interface
 */
public record WorkerInfo(String id, String dataCentre, String rack, String host, int port, Resources capacity) {}
