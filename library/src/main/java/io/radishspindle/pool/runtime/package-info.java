/** Runs pools on an entry VM: intake, ownership, recovery, worker sessions and persistence. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.runtime;
