/** Identifiers, resources and job specifications shared by all packages. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.model;
