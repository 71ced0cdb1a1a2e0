/**
 * Routes callers' requests to slots of executors. An executor is the process behind an endpoint; it runs as many
 * requests at once as it has slots. Each slot belongs to one entry VM, which queues requests for it or forwards them
 * to peers. The deterministic core decides; the runtime carries out its decisions.
 */
@org.jspecify.annotations.NullMarked
package io.radishspindle.routing;
