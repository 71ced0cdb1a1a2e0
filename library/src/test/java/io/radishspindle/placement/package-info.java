/** Tests of the placement core, in virtual time. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.placement;
