package io.radishspindle.platform;

import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;

/** The platform's lagging list of VMs. Implementations are thread-safe. The returned futures never fail. */
public interface VmList {
    /** What a VM is for. */
    enum Kind {
        ENTRY,
        WORKER,
        ENDPOINT
    }

    /** State of a VM as far as the list knows. */
    enum State {
        LIVE,
        LEAVING
    }

    /**
     * One VM.
     *
     * @param port inner protocol for an entry VM, control interface for a worker, service for an endpoint
     * @param service name of the service of an endpoint; empty for others
     * @param slots slots of an endpoint's executor; 0 for others
     * @param connections connection limit of an endpoint's executor; 0 for others
     * @param capacity resources of a worker; none for others
     */
    record Vm(
            String id,
            Kind kind,
            String dataCentre,
            String rack,
            String host,
            int port,
            State state,
            String service,
            int slots,
            int connections,
            Resources capacity) {}

    /**
     * The list at some time in the past.
     *
     * @param version increases with each change
     */
    record Listing(long version, List<Vm> vms) {}

    Future<Either<Failure, Listing>> fetch();
}
