/** What a pool needs from the outside: shared store, worker control and placement advice. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.port;
