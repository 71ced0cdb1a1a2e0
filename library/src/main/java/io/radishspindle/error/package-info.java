/** Errors as values; each carries the operation and the peer that failed. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.error;
