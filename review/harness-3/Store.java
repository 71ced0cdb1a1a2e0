import com.sun.net.httpserver.HttpServer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, always sound. Thread-safe. */
final class Store {
    private static final int PAGE_ITEMS = 500;
    private static final int MAX_TXN_ENTRIES = 32;

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> row() {
            return Json.object("key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private record Event(long revision, Map<String, Object> row, String key) {}

    private static final class Lease {
        long ttlMs;
        long endsMs;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease;
    private final HttpServer server;

    Store() {
        server = Web.serve(0, (method, path, query, body, exchange) -> handle(method, path, query, body));
        Thread expiry = new Thread(this::expire, "store-leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    /** Writes an item as the operator or an executor does. */
    synchronized void put(String key, Map<String, Object> value) {
        write(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        if (items.containsKey(key)) {
            revision++;
            remove(key);
            notifyAll();
        }
    }

    private void write(String key, String value, long lease) {
        write(key, value, lease, ++revision);
    }

    private void write(String key, String value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(key, value, at, before == null ? at : before.created(), lease);
        items.put(key, item);
        history.add(new Event(at, item.row(), key));
    }

    private void remove(String key) {
        items.remove(key);
        history.add(new Event(revision, Json.object("key", key, "revision", revision, "deleted", true), key));
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long nowMs = nowMs();
                List.copyOf(leases.keySet()).stream()
                        .filter(id -> leases.get(id).endsMs <= nowMs)
                        .forEach(this::endLease);
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = items.values().stream()
                .filter(item -> item.lease() == id)
                .map(Item::key)
                .toList();
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    private synchronized Web.Answer handle(String method, String path, Map<String, String> query, String body)
            throws InterruptedException {
        Map<String, Object> call = Json.parseObject(body);
        if (path.equals("/radishspindle/kv-key")) {
            Item item = items.get(query.get("key"));
            return item == null ? new Web.Answer(404, Json.object()) : new Web.Answer(200, item.row());
        }
        if (path.equals("/radishspindle/kv-range")) {
            return range(query.get("prefix"), query.getOrDefault("after", ""));
        }
        if (path.equals("/radishspindle/kv-watch")) {
            return watch(query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("wait_ms")));
        }
        if (path.equals("/radishspindle/kv-txn")) {
            return transact(call);
        }
        if (path.equals("/radishspindle/kv-lease")) {
            Lease lease = new Lease();
            lease.ttlMs = Json.number(call, "ttl_ms");
            lease.endsMs = nowMs() + lease.ttlMs;
            leases.put(++lastLease, lease);
            return new Web.Answer(200, Json.object("lease", lastLease, "ttl_ms", lease.ttlMs));
        }
        long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
        Lease lease = leases.get(id);
        if (lease == null) {
            return new Web.Answer(404, Json.object());
        }
        if (method.equals("DELETE")) {
            endLease(id);
            return new Web.Answer(200, Json.object());
        }
        lease.endsMs = nowMs() + lease.ttlMs;
        return new Web.Answer(200, Json.object("ttl_ms", lease.ttlMs));
    }

    private Web.Answer range(String prefix, String after) {
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            if (rows.size() == PAGE_ITEMS) {
                more = true;
                break;
            }
            rows.add(item.row());
        }
        return new Web.Answer(200, Json.object("items", rows, "has_more", more, "at", revision));
    }

    private Web.Answer watch(String prefix, long after, long waitMs) throws InterruptedException {
        long endMs = nowMs() + waitMs;
        while (true) {
            List<Object> rows = new ArrayList<>();
            for (int i = history.size() - 1; i >= 0 && history.get(i).revision() > after; i--) {
                if (history.get(i).key().startsWith(prefix)) {
                    rows.add(0, history.get(i).row());
                }
            }
            long leftMs = endMs - nowMs();
            if (!rows.isEmpty() || leftMs <= 0) {
                return new Web.Answer(200, Json.object("events", rows, "at", revision));
            }
            wait(leftMs);
        }
    }

    private Web.Answer transact(Map<String, Object> call) {
        List<Map<String, Object>> expected = Json.list(call, "expected_rev");
        List<Map<String, Object>> writes = Json.list(call, "write");
        List<String> removals = Json.list(call, "remove");
        if (expected.size() + writes.size() + removals.size() > MAX_TXN_ENTRIES) {
            return new Web.Answer(400, Json.object());
        }
        for (Map<String, Object> row : writes) {
            long lease = Json.number(row, "lease");
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Web.Answer(404, Json.object());
            }
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Map<String, Object> row : expected) {
            String key = Json.text(row, "key");
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision()) == Json.number(row, "revision");
            current.add(item == null ? Json.object("key", key, "revision", 0) : item.row());
        }
        if (!holds) {
            return new Web.Answer(412, Json.object("items", current));
        }
        long at = ++revision;
        writes.forEach(row -> write(Json.text(row, "key"), Json.text(row, "value"), Json.number(row, "lease"), at));
        removals.stream().filter(items::containsKey).forEach(this::remove);
        notifyAll();
        return new Web.Answer(200, Json.object("revision", at));
    }
}
