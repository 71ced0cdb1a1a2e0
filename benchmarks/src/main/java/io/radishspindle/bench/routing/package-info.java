/** Replay of generated requests through the routing core and its baselines. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.bench.routing;
