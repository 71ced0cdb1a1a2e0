/** Cost and delay of ways to spread the fleet configuration. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.bench.config;
