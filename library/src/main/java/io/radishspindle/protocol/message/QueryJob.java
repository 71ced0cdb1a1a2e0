package io.radishspindle.protocol.message;

import io.radishspindle.protocol.PeerMessage;

/**
 * Asks the owner of a group for the state of a job; answered by {@link JobStatusReply}. Immutable and thread-safe.
 *
 * @param afterEpoch "not found" is answered only by an owner of a higher epoch
 */
public record QueryJob(String group, String jobId, long afterEpoch) implements PeerMessage {}
