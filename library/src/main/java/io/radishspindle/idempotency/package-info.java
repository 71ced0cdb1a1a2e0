/** Record of keyed non-idempotent requests in the store. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.idempotency;
