/** Jobs of several steps, the policy of their queues, and what is known of their tasks; shared by the pool packages. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.pool.model;
