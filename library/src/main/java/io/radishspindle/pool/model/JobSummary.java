package io.radishspindle.pool.model;

import org.jspecify.annotations.Nullable;

/**
 * What callers may learn of a job. Immutable and thread-safe.
 *
 * @param tenant null if the job has none, or if it is unknown to an owner of an earlier release
 */
public record JobSummary(JobPhase phase, @Nullable String tenant) {}
