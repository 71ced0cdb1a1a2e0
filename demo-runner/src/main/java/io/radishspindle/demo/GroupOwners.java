package io.radishspindle.demo;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.Map;
import java.util.TreeMap;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Reads from the store which entry VM owns which group. Stateless. */
final class GroupOwners {
    private static final String SUFFIX = "/owner";

    private static final ObjectMapper MESSAGE_PACK = new ObjectMapper(new MessagePackFactory());

    private GroupOwners() {}

    /** Owners by {@code <data centre>/<group>}; a group that has none at the moment is left out. */
    static Map<String, String> read(Http http, Cluster cluster) {
        JsonArray entries =
                http.get(cluster.storeUrl() + "/v1/list?prefix=group/").json().getJsonArray("entries", new JsonArray());
        Map<String, String> owners = new TreeMap<>();
        for (int i = 0; i < entries.size(); i++) {
            JsonObject entry = entries.getJsonObject(i);
            String key = entry.getString("key");
            if (key.endsWith(SUFFIX)) {
                byte[] value = Base64.getDecoder().decode(entry.getString("value"));
                String owner = ownerVm(value);
                owners.put(key.substring("group/".length(), key.length() - SUFFIX.length()), owner);
            }
        }
        owners.values().removeIf(String::isEmpty);
        return owners;
    }

    private static String ownerVm(byte[] record) {
        try {
            return MESSAGE_PACK.readTree(record).path("ownerVm").asText();
        } catch (IOException e) {
            throw new UncheckedIOException("ownership record is not MessagePack", e);
        }
    }
}
