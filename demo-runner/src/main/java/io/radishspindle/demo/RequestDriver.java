package io.radishspindle.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * Sends requests through the callers' ports, as a caller would. Thread-safe.
 *
 * <p>Each attempt has its own request id, so that the endpoints' histories show whether a refused attempt ran. An
 * attempt is repeated only if it certainly did not run; GET requests are repeated in any case.
 */
final class RequestDriver implements AutoCloseable {
    private static final int MAX_ATTEMPTS = 60;
    private static final long RETRY_MS = 100;
    private static final int DEFAULT_SERVICE_MS = 20;

    private final Http http = new Http();
    private final List<EntryVm> vms;
    private final ExecutorService threads;
    private final long seed;
    private volatile int serviceMs = DEFAULT_SERVICE_MS;

    /** Attempts that were answered by an endpoint. */
    final Set<String> answered = ConcurrentHashMap.newKeySet();

    /** Attempts that were refused as not run. */
    final Set<String> refused = ConcurrentHashMap.newKeySet();

    /** Attempts of which the caller cannot know whether they ran. */
    final Set<String> unknown = ConcurrentHashMap.newKeySet();

    /** Attempts that were answered with the answer to another request. */
    final Set<String> swapped = ConcurrentHashMap.newKeySet();

    /** Requests that were given up. */
    final Set<String> givenUp = ConcurrentHashMap.newKeySet();

    RequestDriver(List<EntryVm> vms, long seed, int concurrency) {
        this.vms = vms;
        this.seed = seed;
        this.threads = Executors.newFixedThreadPool(concurrency);
    }

    /** Sets how long endpoints run each later request. */
    void serviceMs(int newServiceMs) {
        serviceMs = newServiceMs;
    }

    /** Starts to send the requests with these numbers; the result ends when all have their outcome. */
    List<Future<?>> send(int from, int to) {
        List<Future<?>> running = new ArrayList<>();
        for (int i = from; i < to; i++) {
            int number = i;
            running.add(threads.submit(() -> run(number)));
        }
        return running;
    }

    private void run(int number) {
        Random random = new Random(seed + number);
        boolean idempotent = number % 2 == 0;
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            String id = (idempotent ? "get-" : "post-") + number + "." + attempt;
            EntryVm vm = vms.get(random.nextInt(vms.size()));
            String service = ClusterPlan.SERVICES.get(random.nextInt(ClusterPlan.SERVICES.size()));
            Http.Result result = call(vm, service, id, idempotent);
            if (settle(id, idempotent, result)) {
                return;
            }
            Wait.pause(RETRY_MS);
        }
        givenUp.add(Integer.toString(number));
    }

    private Http.Result call(EntryVm vm, String service, String id, boolean idempotent) {
        Map<String, String> headers =
                Map.of("Caller", "demo", "Request-Id", id, "Service-Time-Ms", Integer.toString(serviceMs));
        String url = vm.callersUrl() + "/services/" + service + "/pages/" + id;
        return http.call(idempotent ? "GET" : "POST", url, headers, idempotent ? "" : "body of " + id);
    }

    /** Records the outcome of an attempt; false if the request has to be repeated. */
    private boolean settle(String id, boolean idempotent, Http.Result result) {
        if (result.isSuccess()) {
            boolean own = id.equals(result.headers().get("Request-Id"))
                    && result.body().equals(idempotent ? "" : "body of " + id);
            (own ? answered : swapped).add(id);
            return true;
        }
        if (result.isNotRun()) {
            refused.add(id);
            return false;
        }
        Logger.info("event=request-unknown id={} status={} body={}", id, result.status(), result.body());
        unknown.add(id);
        return !idempotent;
    }

    @Override
    public void close() {
        threads.shutdownNow();
        try {
            threads.awaitTermination(1, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
