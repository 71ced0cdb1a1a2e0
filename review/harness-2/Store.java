import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Stand-in of the platform's store. All state is guarded by this object's lock.
 *
 * <p>It loses nothing that it has acknowledged, and answers after {@link #ANSWER_MS}.
 */
final class Store {
    private static final long ANSWER_MS = 4;
    private static final int MAX_ENTRIES = 32;
    private static final int MAX_VALUE_BYTES = 1_048_576;
    private static final int PAGE = 500;

    private static final class Lease {
        final long ttlMs;
        long endsMs;

        Lease(long ttlMs) {
            this.ttlMs = ttlMs;
            endsMs = Clock.ms() + ttlMs;
        }
    }

    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Web web;
    private long revision = 100;
    private long compacted = 0;
    private long lastLease = 0;
    private int watchEra = 0;
    private boolean deaf;
    /** Called with each committed transaction before it is answered, without the lock. */
    volatile Predicate<Map<String, Object>> beforeAnswer = txn -> true;

    Store() throws IOException {
        web = new Web(this::handle);
        Thread expiry = new Thread(this::expire, "store-expiry");
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return web.address();
    }

    synchronized void put(String key, Object value) {
        write(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        remove(key);
        notifyAll();
    }

    synchronized List<String> keys(String prefix) {
        return items.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    synchronized byte[] value(String key) {
        Map<String, Object> item = items.get(key);
        return item == null ? null : Base64.getDecoder().decode((String) item.get("value"));
    }

    /** Watches hear nothing from now on, until {@link #dropHistory}. */
    synchronized void goDeaf() {
        deaf = true;
    }

    /** Drops the history and cuts the watches. */
    synchronized void dropHistory() {
        deaf = false;
        compacted = revision;
        history.clear();
        watchEra++;
        notifyAll();
    }

    private void write(String key, String value, long lease) {
        revision++;
        Map<String, Object> before = items.get(key);
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("value", value);
        item.put("revision", revision);
        item.put("created", before == null ? revision : before.get("created"));
        item.put("lease", lease);
        items.put(key, item);
        history.add(item);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            revision++;
            history.add(new LinkedHashMap<>(Map.of("key", key, "revision", revision, "deleted", true)));
        }
    }

    private void expire() {
        try {
            while (true) {
                Thread.sleep(20);
                synchronized (this) {
                    long nowMs = Clock.ms();
                    for (Map.Entry<Long, Lease> lease : List.copyOf(leases.entrySet())) {
                        if (lease.getValue().endsMs < nowMs) {
                            endLease(lease.getKey());
                        }
                    }
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        for (Map<String, Object> item : List.copyOf(items.values())) {
            if (item.get("lease").equals(id)) {
                remove((String) item.get("key"));
            }
        }
        notifyAll();
    }

    private void handle(Web.Call call) throws IOException, InterruptedException {
        Thread.sleep(ANSWER_MS);
        String name = call.path.replaceFirst("^/radishspindle/", "");
        if (name.equals("kv-key")) {
            get(call);
        } else if (name.equals("kv-range")) {
            range(call);
        } else if (name.equals("kv-watch")) {
            watch(call);
        } else if (name.equals("kv-txn")) {
            transact(call);
        } else if (name.equals("kv-lease")) {
            createLease(call);
        } else if (name.startsWith("kv-keep/")) {
            keepLease(call, Long.parseLong(name.substring("kv-keep/".length())));
        } else if (name.startsWith("kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(name.substring("kv-lease-end/".length())));
            }
            call.answer(200, Map.of());
        } else {
            call.answer(404, Map.of());
        }
    }

    private void get(Web.Call call) throws IOException {
        Map<String, Object> item;
        synchronized (this) {
            item = items.get(call.query.get("key"));
            if (item != null) {
                item = new LinkedHashMap<>(item);
                item.put("at", revision);
            }
        }
        call.answer(item == null ? 404 : 200, item == null ? Map.of() : item);
    }

    private void range(Web.Call call) throws IOException {
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            String prefix = call.query.get("prefix");
            String after = call.query.getOrDefault("after", "");
            List<Map<String, Object>> found = items.tailMap(prefix, true).values().stream()
                    .takeWhile(item -> ((String) item.get("key")).startsWith(prefix))
                    .filter(item -> ((String) item.get("key")).compareTo(after) > 0)
                    .limit(PAGE + 1)
                    .toList();
            answer.put("items", found.subList(0, Math.min(PAGE, found.size())));
            answer.put("has_more", found.size() > PAGE);
            answer.put("at", revision);
        }
        call.answer(200, answer);
    }

    private void watch(Web.Call call) throws IOException, InterruptedException {
        String prefix = call.query.get("prefix");
        long after = Long.parseLong(call.query.get("after"));
        long endsMs = Clock.ms() + Math.min(30_000, Long.parseLong(call.query.get("wait_ms")));
        Map<String, Object> answer = null;
        synchronized (this) {
            int era = watchEra;
            while (answer == null) {
                if (era != watchEra) {
                    call.cut();
                    return;
                }
                if (after < compacted) {
                    break;
                }
                List<Map<String, Object>> events = deaf
                        ? List.of()
                        : history.stream()
                                .filter(item -> (long) item.get("revision") > after)
                                .filter(item -> ((String) item.get("key")).startsWith(prefix))
                                .toList();
                long leftMs = endsMs - Clock.ms();
                if (!events.isEmpty() || leftMs <= 0) {
                    answer = new LinkedHashMap<>();
                    answer.put("events", events);
                    answer.put("at", deaf ? after : revision);
                } else {
                    wait(leftMs);
                }
            }
        }
        call.answer(answer == null ? 410 : 200, answer == null ? Map.of() : answer);
    }

    @SuppressWarnings("unchecked")
    private void transact(Web.Call call) throws IOException {
        Map<String, Object> txn = call.body();
        List<Map<String, Object>> expected = (List<Map<String, Object>>) txn.getOrDefault("expected_rev", List.of());
        List<Map<String, Object>> writes = (List<Map<String, Object>>) txn.getOrDefault("write", List.of());
        List<String> removals = (List<String>) txn.getOrDefault("remove", List.of());
        int status = 200;
        Map<String, Object> answer = new LinkedHashMap<>();
        synchronized (this) {
            boolean holds = expected.stream()
                    .allMatch(row -> revisionOf((String) row.get("key")) == (long) row.get("revision"));
            boolean leased = writes.stream()
                    .map(row -> (long) row.getOrDefault("lease", 0L))
                    .allMatch(lease -> lease == 0 || leases.containsKey(lease));
            boolean fits = writes.stream()
                    .allMatch(row -> Base64.getDecoder().decode((String) row.get("value")).length <= MAX_VALUE_BYTES);
            if (!fits || expected.size() + writes.size() + removals.size() > MAX_ENTRIES) {
                status = 400;
            } else if (!holds) {
                status = 412;
                List<Map<String, Object>> current = new ArrayList<>();
                for (Map<String, Object> row : expected) {
                    Map<String, Object> item = items.get((String) row.get("key"));
                    current.add(item == null ? Map.of("key", row.get("key"), "revision", 0L) : item);
                }
                answer.put("items", current);
            } else if (!leased) {
                status = 404;
            } else {
                for (Map<String, Object> row : writes) {
                    write((String) row.get("key"), (String) row.get("value"), (long) row.getOrDefault("lease", 0L));
                }
                removals.forEach(this::remove);
                answer.put("revision", revision);
                notifyAll();
            }
        }
        if (status == 200) {
            beforeAnswer.test(txn);
        }
        call.answer(status, answer);
    }

    private long revisionOf(String key) {
        Map<String, Object> item = items.get(key);
        return item == null ? 0 : (long) item.get("revision");
    }

    private void createLease(Web.Call call) throws IOException {
        long ttlMs = (long) call.body().get("ttl_ms");
        long id;
        synchronized (this) {
            id = ++lastLease;
            leases.put(id, new Lease(ttlMs));
        }
        call.answer(200, Map.of("lease", id, "ttl_ms", ttlMs));
    }

    private void keepLease(Web.Call call, long id) throws IOException {
        Lease lease;
        synchronized (this) {
            lease = leases.get(id);
            if (lease != null) {
                lease.endsMs = Clock.ms() + lease.ttlMs;
            }
        }
        call.answer(lease == null ? 404 : 200, lease == null ? Map.of() : Map.of("ttl_ms", lease.ttlMs));
    }
}
