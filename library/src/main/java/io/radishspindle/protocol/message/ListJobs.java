package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/**
 * Queries the jobs of all groups that the receiver owns, at most {@code limit}; the reply is {@link ListJobsReply}.
 * Immutable and thread-safe.
 */
public record ListJobs(int limit) implements PeerMessage {}
