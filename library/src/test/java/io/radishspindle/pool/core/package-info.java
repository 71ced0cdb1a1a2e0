/** Tests of pool scheduling with simulated workers in virtual time. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.core;
