/** Replay of generated arrivals through the placement core in virtual time, and JMH benchmarks. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.bench;
