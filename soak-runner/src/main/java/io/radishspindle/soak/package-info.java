/** Long randomised runs of the ownership, journal and placement cores under faults, with a history checker. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.soak;
