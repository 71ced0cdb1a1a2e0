/** The internal protocol between entry VMs: framing, authentication, connections and request handling. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.protocol;
