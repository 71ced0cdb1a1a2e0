import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as PROTOCOL.md describes it, without its limits on rates. While it is down, every connection is
 * reset, and leases and entries of executors run out. Thread-safe.
 */
final class Store {
    private static final int PAGE_ITEMS = 500;

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.map(
                    "key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private static final class Lease {
        long ttlMs;
        long endsMs;
    }

    private final Recorder record;
    private final long entryMs;
    private final Http.Server server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    /** When the entry of an executor is removed unless the executor writes again, by key. */
    private final Map<String, Long> entryEndsMs = new HashMap<>();

    private long revision = 100;
    private long nextLease = 70_000;
    private boolean down;

    /** @param entryMs silence after which the entry of an executor is removed */
    Store(Recorder record, long entryMs) throws IOException {
        this.record = record;
        this.entryMs = entryMs;
        server = new Http.Server(0, this::handle);
        Http.daemon(this::expire);
    }

    int port() {
        return server.port();
    }

    /** Makes the store unavailable, or available again. */
    void setDown(boolean value) {
        synchronized (this) {
            down = value;
            notifyAll();
        }
        if (value) {
            server.resetConnections();
        }
        record.add("store", value ? "is down" : "is back");
    }

    /** Writes a key as the operator. */
    synchronized void putAsOperator(String key, Object value) {
        put(key, encode(value), 0);
    }

    /** Writes a key as another writer than the system, the operator and the executors of this deployment. */
    synchronized void putAsOther(String key, Object value) {
        put(key, encode(value), 0);
        record.add("store", "entry of another writer " + key + " " + Json.write(value));
    }

    /** A heartbeat of an executor; false if the store is down. The item changes only if the entry does. */
    synchronized boolean beat(String id, Map<String, Object> entry) {
        if (down) {
            return false;
        }
        String key = "servers/" + id;
        String value = encode(entry);
        entryEndsMs.put(key, record.nowMs() + entryMs);
        Item before = items.get(key);
        if (before == null || !before.value().equals(value)) {
            put(key, value, 0);
            record.add("store", (before == null ? "new entry of " : "changed entry of ") + id + " " + Json.write(entry));
        }
        return true;
    }

    /** Text of a key; empty if it doesn't exist. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.ISO_8859_1);
    }

    private static String encode(Object value) {
        return Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8));
    }

    private void put(String key, String value, long lease) {
        revision++;
        Item before = items.get(key);
        Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(item.json());
        notifyAll();
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(Json.map("key", key, "revision", revision, "deleted", true));
            notifyAll();
        }
    }

    private void expire() {
        try {
            while (true) {
                Thread.sleep(10);
                synchronized (this) {
                    long nowMs = record.nowMs();
                    leases.entrySet().stream()
                            .filter(lease -> lease.getValue().endsMs < nowMs)
                            .map(Map.Entry::getKey)
                            .toList()
                            .forEach(this::endLease);
                    entryEndsMs.entrySet().stream()
                            .filter(entry -> entry.getValue() < nowMs)
                            .map(Map.Entry::getKey)
                            .toList()
                            .forEach(key -> {
                                entryEndsMs.remove(key);
                                remove(key);
                                record.add("store", "removed " + key + " after silence");
                            });
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        items.values().stream()
                .filter(item -> item.lease() == id)
                .map(Item::key)
                .toList()
                .forEach(key -> {
                    remove(key);
                    record.add("store", "removed " + key + " with its lease");
                });
    }

    private Http.Response handle(Http.Request request) throws InterruptedException {
        synchronized (this) {
            if (down) {
                return null;
            }
            String path = request.path();
            if (path.equals("/radishspindle/kv-watch")) {
                return watch(request);
            } else if (path.equals("/radishspindle/kv-key")) {
                Item item = items.get(request.query().get("key"));
                Map<String, Object> found = item == null ? Json.map() : item.json();
                found.put("at", revision);
                return answer(item == null ? 404 : 200, found);
            } else if (path.equals("/radishspindle/kv-range")) {
                return range(request);
            } else if (path.equals("/radishspindle/kv-txn")) {
                return transact(Json.object(request.body()));
            } else if (path.equals("/radishspindle/kv-lease")) {
                Lease lease = new Lease();
                lease.ttlMs = Json.integer(Json.object(request.body()), "ttl_ms");
                lease.endsMs = record.nowMs() + lease.ttlMs;
                leases.put(++nextLease, lease);
                return answer(200, Json.map("lease", nextLease, "ttl_ms", lease.ttlMs));
            } else if (path.startsWith("/radishspindle/kv-keep/")) {
                Lease lease = leases.get(lastPart(path));
                if (lease == null) {
                    return answer(404, Json.map());
                }
                lease.endsMs = record.nowMs() + lease.ttlMs;
                return answer(200, Json.map("ttl_ms", lease.ttlMs));
            } else if (path.startsWith("/radishspindle/kv-lease-end/")) {
                endLease(lastPart(path));
                return answer(200, Json.map());
            }
            return answer(404, Json.map());
        }
    }

    private static long lastPart(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static Http.Response answer(int status, Map<String, Object> body) {
        return new Http.Response(status, Json.write(body));
    }

    private Http.Response range(Http.Request request) {
        String prefix = request.query().get("prefix");
        String after = request.query().getOrDefault("after", "");
        List<Object> found = items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values().stream()
                .takeWhile(item -> item.key().startsWith(prefix))
                .limit(PAGE_ITEMS + 1)
                .map(item -> (Object) item.json())
                .toList();
        boolean more = found.size() > PAGE_ITEMS;
        return answer(
                200,
                Json.map("items", more ? found.subList(0, PAGE_ITEMS) : found, "has_more", more, "at", revision));
    }

    private Http.Response watch(Http.Request request) throws InterruptedException {
        String prefix = request.query().get("prefix");
        long after = Long.parseLong(request.query().get("after"));
        long untilMs = record.nowMs() + Long.parseLong(request.query().get("wait_ms"));
        while (true) {
            if (down) {
                return null;
            }
            List<Object> events = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && Json.integer(history.get(i), "revision") > after; i--) {
                if (Json.text(history.get(i), "key").startsWith(prefix)) {
                    events.add(0, history.get(i));
                }
            }
            long leftMs = untilMs - record.nowMs();
            if (!events.isEmpty() || leftMs <= 0) {
                return answer(200, Json.map("events", events, "at", revision));
            }
            wait(leftMs);
        }
    }

    @SuppressWarnings("unchecked")
    private Http.Response transact(Map<String, Object> txn) {
        List<Object> current = new ArrayList<>();
        boolean holds = true;
        for (Object row : Json.list(txn, "expected_rev")) {
            Map<String, Object> expected = (Map<String, Object>) row;
            String key = Json.text(expected, "key");
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision()) == Json.integer(expected, "revision");
            current.add(item == null ? Json.map("key", key, "revision", 0L) : item.json());
        }
        if (!holds) {
            return answer(412, Json.map("items", current));
        }
        for (Object row : Json.list(txn, "write")) {
            Map<String, Object> write = (Map<String, Object>) row;
            String key = Json.text(write, "key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return answer(403, Json.map());
            }
            long lease = Json.integer(write, "lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                return answer(404, Json.map());
            }
        }
        for (Object row : Json.list(txn, "write")) {
            Map<String, Object> write = (Map<String, Object>) row;
            put(Json.text(write, "key"), Json.text(write, "value"), Json.integer(write, "lease"));
        }
        Json.list(txn, "remove").forEach(key -> remove((String) key));
        return answer(200, Json.map("revision", revision));
    }
}
