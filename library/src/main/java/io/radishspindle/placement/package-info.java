/** Decision core that assigns the tasks of a group's jobs to its workers. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.placement;
