/** Records of requests with an Idempotency-Key in the store, so that each runs at most once. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.idempotency;
