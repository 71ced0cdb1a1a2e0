package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/** Asks for the state of a job; answered by {@link JobStatusReply}. Immutable and thread-safe. */
public record QueryJob(String jobId) implements PeerMessage {}
