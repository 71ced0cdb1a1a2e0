package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/** Asks for the jobs of all groups of the receiver, at most {@code limit}. Immutable and thread-safe. */
public record ListJobs(int limit) implements PeerMessage {}
