/** HTTP interfaces of an entry VM and what they share. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.entry.http;
