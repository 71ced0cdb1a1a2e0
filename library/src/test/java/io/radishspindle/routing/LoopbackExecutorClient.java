package io.radishspindle.routing;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.ExecutorClient;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.TimeUnit;

/** Executor client for tests over loopback sockets. Thread-safe. */
final class LoopbackExecutorClient implements ExecutorClient {
    private final HttpClient http;

    LoopbackExecutorClient(Vertx vertx) {
        http = vertx.createHttpClient();
    }

    @Override
    public Future<Either<Failure, ServiceResponse>> send(
            String host, int port, ServiceRequest request, long timeoutMs) {
        return connect(host, port, request.method(), request.path())
                .compose(connected -> connected.isLeft()
                        ? Future.succeededFuture(Either.left(connected.getLeft()))
                        : exchange(connected.get(), request, timeoutMs));
    }

    @Override
    public Future<Either<Failure, Health>> probe(String host, int port, long timeoutMs) {
        return http.request(HttpMethod.GET, port, host, "/health")
                .compose(request -> request.idleTimeout(timeoutMs).send())
                .compose(response -> response.body().map(response))
                .map(response -> Either.<Failure, Health>right(isLeaving(response) ? Health.LEAVING : Health.LIVE))
                .otherwise(e -> Either.left(Failure.unknown("executor.probe", host + ":" + port, e.toString())));
    }

    private Future<Either<Failure, HttpClientRequest>> connect(String host, int port, String method, String path) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.valueOf(method))
                .setHost(host)
                .setPort(port)
                .setURI(path)
                .setConnectTimeout(TimeUnit.SECONDS.toMillis(2));
        return http.request(options)
                .map(Either::<Failure, HttpClientRequest>right)
                .otherwise(e -> Either.left(Failure.retryable(
                        ErrorCode.PEER_UNREACHABLE, "executor.connect", host + ":" + port, e.toString(), 1_000)));
    }

    private static Future<Either<Failure, ServiceResponse>> exchange(
            HttpClientRequest to, ServiceRequest request, long timeoutMs) {
        request.headers().forEach(header -> to.headers().add(header.getKey(), header.getValue()));
        return to.idleTimeout(timeoutMs)
                .send(request.body())
                .compose(response -> response.body()
                        .map(body -> Either.<Failure, ServiceResponse>right(new ServiceResponse(
                                response.statusCode(),
                                response.headers(),
                                body,
                                isBusy(response),
                                isLeaving(response)))))
                .otherwise(e -> Either.left(Failure.unknown("executor.answer", "executor", e.toString())));
    }

    private static boolean isBusy(HttpClientResponse response) {
        return response.statusCode() == 503 && "true".equals(response.getHeader("Not-Run"));
    }

    private static boolean isLeaving(HttpClientResponse response) {
        return "true".equals(response.getHeader("Leaving"));
    }
}
