/** Decision core that routes requests to slots of executors. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.routing;
