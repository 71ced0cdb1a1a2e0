/** Decision core that places tasks on workers. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.placement;
