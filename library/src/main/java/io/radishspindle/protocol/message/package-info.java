/** Messages of the inner protocol. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.protocol.message;
