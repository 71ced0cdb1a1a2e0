package io.radishspindle.membership;

/**
 * Load of a service at one entry VM. Immutable and thread-safe.
 *
 * @param freeSlots slots that this VM holds and does not use
 * @param queued requests that wait at this VM
 */
public record ServiceLoad(String service, int freeSlots, int queued) {}
