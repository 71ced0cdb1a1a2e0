package io.radishspindle.protocol.message;

import io.radishspindle.model.JobStatus;
import io.radishspindle.protocol.PeerMessage;
import java.util.List;

/** Reply to {@link ListJobs}. Immutable and thread-safe. */
public record ListJobsReply(List<JobStatus> jobs) implements PeerMessage {}
