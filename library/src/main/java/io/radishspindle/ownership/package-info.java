/** Ownership of groups of workers: epochs, control leases, takeover and journal. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.ownership;
