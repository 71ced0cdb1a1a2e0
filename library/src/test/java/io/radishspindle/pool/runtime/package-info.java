/** Tests of intake, ownership and recovery against a store in memory. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.runtime;
