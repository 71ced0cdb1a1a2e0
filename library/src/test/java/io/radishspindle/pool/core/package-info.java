/** Tests of pool scheduling against simulated workers in virtual time. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.core;
