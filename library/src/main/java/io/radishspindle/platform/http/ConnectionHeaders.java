package io.radishspindle.platform.http;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;

/** Headers that concern a single connection and must not be forwarded (RFC 9110, 7.6.1). Stateless. */
public final class ConnectionHeaders {
    private static final List<String> NAMES = List.of(
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade");

    private ConnectionHeaders() {}

    /** Removes them, and those that the Connection header names. */
    public static void remove(MultiMap headers) {
        List<String> listed = new ArrayList<>();
        for (String value : headers.getAll(HttpHeaders.CONNECTION)) {
            listed.addAll(List.of(value.split(",", -1)));
        }
        listed.stream().map(String::trim).filter(name -> !name.isEmpty()).forEach(headers::remove);
        NAMES.forEach(headers::remove);
    }
}
