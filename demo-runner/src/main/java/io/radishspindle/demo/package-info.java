@org.jspecify.annotations.NullMarked
package io.radishspindle.demo;
