/** Simple policies to compare the product's policy with. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.bench.baseline;
