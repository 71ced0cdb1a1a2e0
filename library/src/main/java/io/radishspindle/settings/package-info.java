/** INI settings with a checked schema. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.settings;
