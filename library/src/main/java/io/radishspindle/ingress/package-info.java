/** What callers may occupy of a VM: connections, memory and time, bounded where their bytes arrive. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.ingress;
