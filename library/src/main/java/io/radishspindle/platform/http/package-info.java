/** HTTP adapters for the interfaces to the platform. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.platform.http;
