/**
 * Runtime of the pools on an entry VM: storing submitted jobs, electing an owner per pool, recovery after a takeover,
 * sessions with workers and persistence of job progress.
 */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.runtime;
