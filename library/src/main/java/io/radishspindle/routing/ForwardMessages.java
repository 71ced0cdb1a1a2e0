package io.radishspindle.routing;

import io.radishspindle.platform.ExecutorClient.ServiceRequest;
import io.radishspindle.platform.ExecutorClient.ServiceResponse;
import io.radishspindle.protocol.message.ForwardRequest;
import io.radishspindle.protocol.message.ForwardResponse;
import io.radishspindle.routing.RoutingEvent.RequestArrived;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Translates between requests and the messages that forward them. Stateless and thread-safe. */
final class ForwardMessages {
    private ForwardMessages() {}

    static ForwardRequest request(RequestArrived arrival, ServiceRequest request, long remainingMs) {
        return new ForwardRequest(
                arrival.service(),
                arrival.caller(),
                arrival.requestClass().wireName(),
                request.method(),
                request.path(),
                flatten(request.headers()),
                request.body().getBytes(),
                remainingMs,
                arrival.hops() + 1);
    }

    static ServiceRequest toRequest(ForwardRequest message) {
        return new ServiceRequest(
                message.method(), message.path(), unflatten(message.headers()), Buffer.buffer(message.body()));
    }

    static ForwardResponse response(ServiceResponse response) {
        return new ForwardResponse(
                response.status(),
                flatten(EndToEndHeaders.ofResponse(response.headers())),
                response.body().getBytes());
    }

    static ServiceResponse toResponse(ForwardResponse message) {
        MultiMap headers = MultiMap.caseInsensitiveMultiMap();
        unflatten(message.headers()).forEach(header -> headers.add(header.getKey(), header.getValue()));
        return new ServiceResponse(message.status(), headers, Buffer.buffer(message.body()), false, false);
    }

    private static List<String> flatten(Iterable<Map.Entry<String, String>> headers) {
        List<String> flat = new ArrayList<>();
        for (Map.Entry<String, String> header : headers) {
            flat.add(header.getKey());
            flat.add(header.getValue());
        }
        return flat;
    }

    private static List<Map.Entry<String, String>> unflatten(List<String> flat) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        for (int i = 0; i + 1 < flat.size(); i += 2) {
            headers.add(Map.entry(flat.get(i), flat.get(i + 1)));
        }
        return headers;
    }
}
