package io.radishspindle.protocol.message;

import io.radishspindle.model.JobStatus;
import io.radishspindle.protocol.PeerMessage;

/** State of one job. Immutable and thread-safe. */
public record JobStatusReply(JobStatus status) implements PeerMessage {}
