/** Fleet configuration: defaults, exceptions, revisions and audit trail. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.config;
