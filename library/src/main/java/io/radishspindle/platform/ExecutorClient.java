package io.radishspindle.platform;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.List;
import java.util.Map;

/** Sends requests to executors on endpoint VMs. Implementations are thread-safe. The returned futures never fail. */
public interface ExecutorClient {
    /**
     * A request for an executor.
     *
     * @param path path and query, starting with a slash
     */
    record ServiceRequest(String method, String path, List<Map.Entry<String, String>> headers, Buffer body) {}

    /**
     * The whole answer of an executor.
     *
     * @param busy the executor had no free slot and did not run the request
     * @param leaving the executor asks for no further work
     */
    record ServiceResponse(int status, MultiMap headers, Buffer body, boolean busy, boolean leaving) {}

    /** What a probe found. */
    enum Health {
        LIVE,
        LEAVING
    }

    /**
     * Sends a request. A failure with {@code notRun} true means that no byte of the request was sent; a response that
     * ends early yields a failure with {@code notRun} false.
     */
    Future<Either<Failure, ServiceResponse>> send(String host, int port, ServiceRequest request, long timeoutMs);

    Future<Either<Failure, Health>> probe(String host, int port, long timeoutMs);
}
