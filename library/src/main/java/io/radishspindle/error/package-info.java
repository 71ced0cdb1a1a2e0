/** Errors as values; each carries the step and the peer at which it arose. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.error;
