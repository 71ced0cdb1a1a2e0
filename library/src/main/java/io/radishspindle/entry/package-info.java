/** Wiring of the library into one entry VM. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.entry;
