/** Interfaces to the platform: store, VM list, workers, executors, clock. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.platform;
