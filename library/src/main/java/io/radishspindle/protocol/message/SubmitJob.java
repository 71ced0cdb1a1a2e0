package io.radishspindle.protocol.message;

import io.radishspindle.model.JobSpec;
import io.radishspindle.protocol.PeerMessage;

/**
 * Submits a job to the owner of a group; the reply is {@link JobStatusReply}. Immutable and thread-safe.
 *
 * @param epoch the only epoch in which the job may be accepted
 */
public record SubmitJob(String group, long epoch, JobSpec job) implements PeerMessage {}
