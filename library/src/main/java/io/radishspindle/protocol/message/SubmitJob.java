package io.radishspindle.protocol.message;

import io.radishspindle.model.JobSpec;
import io.radishspindle.protocol.PeerMessage;

/** Asks the owner of a group to accept a job; answered by {@link JobStatusReply}. Immutable and thread-safe. */
public record SubmitJob(String group, JobSpec job) implements PeerMessage {}
