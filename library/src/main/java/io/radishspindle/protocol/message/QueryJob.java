package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/**
 * Queries the owner of a group for the state of a job; the reply is {@link JobStatusReply}. Immutable and thread-safe.
 *
 * @param afterEpoch only an owner with a higher epoch may reply that the job does not exist
 */
public record QueryJob(String group, String jobId, long afterEpoch) implements PeerMessage {}
