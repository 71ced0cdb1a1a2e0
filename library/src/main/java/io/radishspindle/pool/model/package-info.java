/** Jobs and their steps, queue policies, and the states that workers report; shared by the pool packages. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.model;
