/** Interfaces of a pool to its environment: shared store, worker control and placement advice. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.port;
