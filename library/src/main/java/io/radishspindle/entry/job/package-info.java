/** Jobs as callers see them: validation, choice of a group, submission, queries and the HTTP interface. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.entry.job;
