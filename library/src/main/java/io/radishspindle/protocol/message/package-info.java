/** Messages of the internal protocol between entry VMs. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.protocol.message;
