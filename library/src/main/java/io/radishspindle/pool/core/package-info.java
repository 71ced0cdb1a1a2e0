/** Scheduling decisions of one pool: deterministic, without I/O and without a clock of their own. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.core;
