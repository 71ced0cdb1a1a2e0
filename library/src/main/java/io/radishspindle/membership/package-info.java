/** Which entry VMs, workers and endpoints are live, suspect or leaving. */
@org.jspecify.annotations.NullMarked
package io.radishspindle.membership;
