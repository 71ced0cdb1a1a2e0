package io.radishspindle.ingress;

/**
 * How long callers may take, in milliseconds. Immutable and thread-safe.
 *
 * @param headerMs from the first byte of a request to the end of its header
 * @param bodyMs from the header to the end of the body; the deadline of a request may end it earlier
 * @param responseMs to read a response
 * @param discardMs to stop sending a body that was refused
 * @param idleMs between requests
 */
record IngressTimeouts(long headerMs, long bodyMs, long responseMs, long discardMs, long idleMs) {}
