/** Prediction of run times from finished runs: decisions without I/O and clock. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.prediction;
