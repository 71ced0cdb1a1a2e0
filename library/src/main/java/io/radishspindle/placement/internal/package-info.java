/** Implementation of the placement core; not for use outside {@code io.radishspindle.placement}. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.placement.internal;
