package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/** Cancels a job; the reply is {@link JobStatusReply}. Immutable and thread-safe. */
public record CancelJob(String jobId, String actor) implements PeerMessage {}
