/** Parts of the HTTP interface for operators. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.entry.operator;
