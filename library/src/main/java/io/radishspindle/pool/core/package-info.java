/** Scheduling decisions of one pool: deterministic, without I/O; all times are passed in. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.core;
