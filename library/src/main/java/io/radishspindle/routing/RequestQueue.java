package io.radishspindle.routing;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Waiting requests of one service. Classes share by weight, and within a class callers are served by deficit round
 * robin, where a request costs the slot time that the caller's requests usually take. Not thread-safe.
 *
 * <p>Invariant: a caller is in the ring of a class exactly while it has a request waiting there.
 */
final class RequestQueue {
    /** Bounds the rounds of deficit round robin that an expensive caller waits for its turn. */
    private static final int MAX_COST_IN_QUANTA = 16;

    /** Requests of one caller in one class. */
    private static final class CallerQueue {
        final String key;
        final ArrayDeque<Request> waiting = new ArrayDeque<>();
        double deficit;

        CallerQueue(String key) {
            this.key = key;
        }
    }

    /** Callers of one class; {@code virtualTime} is the slot time it has used, divided by its weight. */
    private static final class ClassQueue {
        final Map<String, CallerQueue> callers = new HashMap<>();
        final ArrayDeque<CallerQueue> ring = new ArrayDeque<>();
        final DepartureInterval departureInterval = new DepartureInterval();
        double virtualTime;
        int size;
    }

    private final Map<RequestClass, ClassQueue> classes = new EnumMap<>(RequestClass.class);
    private final Map<String, Integer> queuedByCaller = new HashMap<>();
    private final CallerCosts costs;
    private final boolean weighted;
    private final boolean fair;
    private int size;
    private double virtualNow;

    RequestQueue(CallerCosts costs, RoutingOptions options) {
        this.costs = costs;
        weighted = options.has(Safeguard.CLASS_WEIGHTS);
        fair = options.has(Safeguard.CALLER_FAIRNESS);
        for (RequestClass requestClass : RequestClass.values()) {
            classes.put(requestClass, new ClassQueue());
        }
    }

    int size() {
        return size;
    }

    int size(RequestClass requestClass) {
        return queueOf(requestClass).size;
    }

    int queuedOf(String caller) {
        return queuedByCaller.getOrDefault(caller, 0);
    }

    int queuedOf(RequestClass requestClass, String caller) {
        CallerQueue queue = queueOf(requestClass).callers.get(keyOf(caller));
        return queue == null ? 0 : queue.waiting.size();
    }

    int activeCallers(RequestClass requestClass) {
        return queueOf(requestClass).ring.size();
    }

    void add(Request request, long nowMs) {
        beginBacklog(request, nowMs);
        callerQueue(request).waiting.addLast(request);
        adjustCounts(request, 1);
    }

    /** Requeues a request for a retry, ahead of the caller's others. */
    void addFirst(Request request, long nowMs) {
        beginBacklog(request, nowMs);
        callerQueue(request).waiting.addFirst(request);
        adjustCounts(request, 1);
    }

    /** Returns the request whose turn it is, without removing it; stable until the queue changes. */
    @Nullable
    Request next() {
        if (size == 0) {
            return null;
        }
        ClassQueue queue = nextClass();
        CallerQueue front = queue.ring.getFirst();
        while (front.deficit < costInQuanta(front.key)) {
            front.deficit += 1;
            if (front.deficit >= costInQuanta(front.key)) {
                break;
            }
            queue.ring.addLast(queue.ring.removeFirst());
            front = queue.ring.getFirst();
        }
        return front.waiting.getFirst();
    }

    /** Removes the request returned by {@link #next} and charges its caller and class. */
    void take(Request request, long nowMs) {
        ClassQueue queue = queueOf(request.requestClass());
        CallerQueue callerQueue = queue.callers.get(keyOf(request.caller()));
        if (callerQueue != null) {
            double cost = costInQuanta(callerQueue.key);
            callerQueue.deficit -= cost;
            virtualNow = Math.max(virtualNow, queue.virtualTime);
            queue.virtualTime += cost / weightOf(request.requestClass());
            if (callerQueue.deficit < costInQuanta(callerQueue.key)) {
                queue.ring.remove(callerQueue);
                queue.ring.addLast(callerQueue);
            }
        }
        queue.departureInterval.onDeparture(nowMs);
        remove(request);
    }

    /** Removes a request without charging its caller or class. */
    void remove(Request request) {
        ClassQueue queue = queueOf(request.requestClass());
        CallerQueue callerQueue = queue.callers.get(keyOf(request.caller()));
        if (callerQueue == null || !callerQueue.waiting.remove(request)) {
            return;
        }
        if (callerQueue.waiting.isEmpty()) {
            queue.callers.remove(callerQueue.key);
            queue.ring.remove(callerQueue);
        }
        adjustCounts(request, -1);
    }

    /**
     * The request to displace for a new one of class {@code above}: the newest one of the caller with most requests in
     * the lowest class below; null if there is none.
     */
    @Nullable
    Request displacementCandidate(RequestClass above) {
        if (!weighted) {
            return null;
        }
        for (int i = RequestClass.values().length - 1; i > above.ordinal(); i--) {
            CallerQueue longest = null;
            for (CallerQueue callerQueue : queueOf(RequestClass.values()[i]).ring) {
                if (longest == null || callerQueue.waiting.size() > longest.waiting.size()) {
                    longest = callerQueue;
                }
            }
            if (longest != null) {
                return longest.waiting.getLast();
            }
        }
        return null;
    }

    /**
     * Expected wait of a new request of the caller by the departure interval of its class, in milliseconds; 0 if
     * unknown.
     */
    double waitByDeparturesMs(RequestClass requestClass, String caller) {
        int before = servedBeforeInClass(requestClass, caller);
        return queueOf(requestClass).departureInterval.timeToDepartMs(before + 1);
    }

    private int servedBeforeInClass(RequestClass requestClass, String caller) {
        int own = queuedOf(requestClass, caller);
        int callers = activeCallers(requestClass) + (own == 0 ? 1 : 0);
        return (int) Math.min(size(requestClass), (own + 1L) * callers - 1);
    }

    /** Estimate of the requests that are served before a new request of the caller. */
    int servedBefore(RequestClass requestClass, String caller) {
        int inClass = servedBeforeInClass(requestClass, caller);
        if (!weighted) {
            return inClass;
        }
        int before = inClass;
        for (RequestClass other : RequestClass.values()) {
            if (other != requestClass) {
                double turns = (inClass + 1.0) * other.weight() / requestClass.weight();
                before += (int) Math.min(size(other), Math.ceil(turns));
            }
        }
        return before;
    }

    private ClassQueue nextClass() {
        ClassQueue best = null;
        for (ClassQueue queue : classes.values()) {
            if (queue.size > 0 && (best == null || queue.virtualTime < best.virtualTime)) {
                best = queue;
            }
        }
        if (best == null) {
            throw new IllegalStateException("no class has a request although size=" + size);
        }
        return best;
    }

    private void beginBacklog(Request request, long nowMs) {
        ClassQueue queue = queueOf(request.requestClass());
        if (queue.size == 0) {
            queue.departureInterval.startBacklog(nowMs);
        }
    }

    private CallerQueue callerQueue(Request request) {
        ClassQueue queue = queueOf(request.requestClass());
        if (queue.size == 0) {
            // A class must not accumulate a share while idle, or it would starve the others afterwards.
            queue.virtualTime = Math.max(queue.virtualTime, virtualNow);
        }
        String key = keyOf(request.caller());
        CallerQueue callerQueue = queue.callers.get(key);
        if (callerQueue == null) {
            callerQueue = new CallerQueue(key);
            queue.callers.put(key, callerQueue);
            queue.ring.addLast(callerQueue);
        }
        return callerQueue;
    }

    private void adjustCounts(Request request, int change) {
        queueOf(request.requestClass()).size += change;
        size += change;
        int left = queuedByCaller.merge(request.caller(), change, Integer::sum);
        if (left == 0) {
            queuedByCaller.remove(request.caller());
        }
    }

    private double costInQuanta(String key) {
        return fair ? Math.min(MAX_COST_IN_QUANTA, costs.relativeCost(key)) : 1;
    }

    private int weightOf(RequestClass requestClass) {
        return weighted ? requestClass.weight() : 1;
    }

    private ClassQueue queueOf(RequestClass requestClass) {
        RequestClass used = weighted ? requestClass : RequestClass.NORMAL;
        return Objects.requireNonNull(classes.get(used));
    }

    private String keyOf(String caller) {
        return fair ? caller : "";
    }
}
