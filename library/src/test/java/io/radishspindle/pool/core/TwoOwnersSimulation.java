package io.radishspindle.pool.core;

import io.radishspindle.model.Resources;
import io.radishspindle.pool.core.ProgressLedger.Batch;
import io.radishspindle.pool.model.JobProgress;
import io.radishspindle.pool.model.PoolJob;
import io.radishspindle.pool.model.RunEnd;
import io.radishspindle.pool.model.StepSpec;
import io.radishspindle.pool.model.WorkerEntry;
import io.radishspindle.pool.port.WorkerControl.Answer;
import io.radishspindle.pool.port.WorkerControl.HoldOrder;
import io.radishspindle.pool.port.WorkerControl.StartOrder;
import io.radishspindle.pool.prediction.DeclaredRunTimes;
import io.radishspindle.pool.tenant.TenantLimits;
import io.radishspindle.pool.tenant.TenantWeights;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Simulates two owners of one pool that act at the same time: the older one goes on until a worker rejects its fencing
 * token, or until its VM sees the newer claim. Several events may happen in one millisecond, in the order in which they
 * were sent. Deterministic for deterministic latencies; not thread-safe.
 */
final class TwoOwnersSimulation {
    private static final long TICK_MS = 50;
    private static final long PAUSE_MS = 1_500;
    private static final long ORDER_TIMEOUT_MS = 900;
    private static final long HOLD_TIMEOUT_MARGIN_MS = 350;
    private static final long WRITE_MS = 10;

    private record Event(long atMs, long order, Runnable action) {}

    /** A running owner with its links to the workers and to the store. */
    final class Owner {
        final SimRoster roster = new SimRoster(recorded);
        final PoolScheduler scheduler = new PoolScheduler(
                new PoolOptions(TenantLimits.NONE, new DeclaredRunTimes(), TenantWeights.NONE, roster));
        final long token;
        private final long startedAtMs = nowMs;
        /** Ends of the cuts from single workers, by id. */
        final Map<String, Long> cutUntilMs = new HashMap<>();
        /** One-way latency to single workers, by id. */
        final Map<String, Long> latencyMs = new HashMap<>();

        final List<String> started = new ArrayList<>();
        long lastStartMs;
        boolean seesStore = true;
        boolean closed;
        private long pausedUntilMs;
        private long lastCheckMs = nowMs;
        private boolean passRequested;
        private boolean writing;

        Owner(long token) {
            this.token = token;
        }

        void pauseUntil(long untilMs) {
            pausedUntilMs = untilMs;
        }

        void cut(long untilMs, String... ids) {
            List.of(ids).forEach(id -> cutUntilMs.put(id, untilMs));
        }

        boolean reaches(String id) {
            return nowMs >= cutUntilMs.getOrDefault(id, 0L);
        }

        /** Adds a job of which another VM tells this owner. */
        void tell(PoolJob job) {
            deliver(() -> {
                long claim = claimsOfJobs.getOrDefault(job.id(), 0L);
                closed |= claim > token;
                if (!closed) {
                    passRequested |=
                            claim == token ? scheduler.submit(job) : scheduler.submitInherited(job, nowMs, nowMs);
                }
            });
        }

        /** Runs an action once the process runs; a pause is detected as it is by the owner of a pool. */
        private void deliver(Runnable action) {
            if (nowMs < pausedUntilMs) {
                after(pausedUntilMs - nowMs, () -> deliver(action));
            } else if (!closed) {
                action.run();
            }
        }

        private void checkForPause() {
            if (nowMs - lastCheckMs > PAUSE_MS) {
                scheduler.invalidateEarlierAnswers(nowMs);
            }
            lastCheckMs = nowMs;
        }

        private void step() {
            boolean tick = (nowMs - startedAtMs) % TICK_MS == 0 && nowMs > startedAtMs;
            passRequested &= !scheduler.isRecovering(nowMs);
            if (closed || nowMs < pausedUntilMs || !(tick || passRequested)) {
                return;
            }
            passRequested = false;
            checkForPause();
            scheduler.schedule(nowMs, nowMs, new LimitedChannels(0, 1)).forEach(this::perform);
            write();
        }

        private void write() {
            if (writing
                    || !(scheduler.progress().hasDirty(Set.of())
                            || scheduler.progress().hasUnacknowledged())) {
                return;
            }
            writing = true;
            Batch batch = scheduler.progress().take(20, Set.of());
            after(WRITE_MS, () -> {
                boolean current = this == owners.get(owners.size() - 1);
                if (seesStore && current) {
                    storedProgress.putAll(batch.progress());
                }
                deliver(() -> {
                    writing = false;
                    closed |= seesStore && !current;
                    if (seesStore) {
                        scheduler.progress().onWritten(batch);
                    } else {
                        scheduler.progress().onWriteFailed(batch);
                    }
                });
            });
        }

        private void perform(PoolAction action) {
            if (action instanceof PoolAction.Start start) {
                StartOrder order = start.order();
                started.add(order.run() + "@" + start.worker().id());
                lastStartMs = nowMs;
                StartOrder fenced = new StartOrder(
                        order.run(),
                        order.payload(),
                        order.leaseEndWorkerMs(),
                        token,
                        order.checkpoint(),
                        order.ticket());
                send(
                        start.worker().id(),
                        worker -> startOn(worker, fenced),
                        answer -> scheduler.onStartReply(start.worker().id(), order.run(), answer, nowMs));
            } else if (action instanceof PoolAction.Stop stop) {
                send(
                        stop.worker().id(),
                        worker -> worker.stop(stop.run(), token, nowMs),
                        answer -> scheduler.onStopReply(stop.worker().id(), stop.run(), answer, nowMs));
            }
        }

        private long latency(String id) {
            return latencyMs.getOrDefault(id, 0L) + latency.getAsLong();
        }

        private void send(String id, Function<SimWorker, Answer> order, Consumer<@Nullable Answer> onAnswer) {
            long sentAtMs = nowMs;
            SimWorker worker = workers.get(id);
            after(latency(id), () -> {
                Answer answer = reaches(id) ? order.apply(worker) : null;
                after(latency(id), () -> {
                    Answer received = reaches(id) ? answer : null;
                    long waitMs = received == null ? Math.max(0, sentAtMs + ORDER_TIMEOUT_MS - nowMs) : 0;
                    after(waitMs, () -> deliver(() -> onAnswer(received, onAnswer)));
                });
            });
        }

        private void onAnswer(@Nullable Answer answer, Consumer<@Nullable Answer> onAnswer) {
            if (answer == Answer.FENCED) {
                closed = true;
            } else {
                onAnswer.accept(answer);
                passRequested |= answer != Answer.ACCEPTED;
            }
        }

        private void poll(String id) {
            if (closed) {
                return;
            }
            SentHold hold = scheduler.holdOrder(id, nowMs, token);
            SimWorker worker = workers.get(id);
            after(latency(id), () -> {
                Answer answer = reaches(id) ? worker.hold(hold.order(), nowMs) : null;
                if (answer == null) {
                    onLost(id, hold);
                } else {
                    answerHold(
                            worker,
                            hold,
                            worker.bootWallMs,
                            nowMs + hold.order().waitMs());
                }
            });
        }

        /** Answers at the next end, or once the wait is over; a hold of an older token is rejected by then. */
        private void answerHold(SimWorker worker, SentHold hold, long bootWallMs, long untilMs) {
            String id = worker.entry.id();
            if (worker.bootWallMs != bootWallMs) {
                deliver(() -> onHoldFailed(id, hold, true));
            } else if (!worker.hasEnds() && nowMs < untilMs) {
                after(1, () -> answerHold(worker, hold, bootWallMs, untilMs));
            } else {
                Answer answer = worker.hold(new HoldOrder(0, token, 0, 0), nowMs);
                var report = worker.report(nowMs);
                after(latency(id), () -> {
                    if (!reaches(id)) {
                        onLost(id, hold);
                        return;
                    }
                    deliver(() -> {
                        checkForPause();
                        if (answer == Answer.FENCED) {
                            closed = true;
                            return;
                        }
                        scheduler.onHoldReply(id, hold, report, nowMs, nowMs);
                        passRequested = true;
                        repoll(id, scheduler.awaitsDurability(id) ? PoolTiming.ACK_RETRY_MS : 1);
                    });
                });
            }
        }

        private void onLost(String id, SentHold hold) {
            long timeoutAtMs = hold.sentAtMs() + hold.order().waitMs() + HOLD_TIMEOUT_MARGIN_MS;
            after(Math.max(0, timeoutAtMs - nowMs), () -> deliver(() -> onHoldFailed(id, hold, false)));
        }

        private void onHoldFailed(String id, SentHold hold, boolean brokenOff) {
            checkForPause();
            scheduler.onHoldFailed(id, hold.sentAtMs(), nowMs, brokenOff);
            repoll(id, PoolTiming.HOLD_RETRY_MS);
        }

        private void repoll(String id, long delayMs) {
            after(delayMs, () -> deliver(() -> poll(id)));
        }
    }

    final SimHistory history = new SimHistory();
    final Map<String, SimWorker> workers = new LinkedHashMap<>();
    private final Map<String, WorkerEntry> recorded = new LinkedHashMap<>();
    private final Map<String, PoolJob> storedJobs = new LinkedHashMap<>();
    /** Tokens of the claims that were in force when the jobs were stored. */
    private final Map<String, Long> claimsOfJobs = new HashMap<>();

    private final Map<String, JobProgress> storedProgress = new HashMap<>();
    private final List<Owner> owners = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
    private final LongSupplier latency;
    private long eventCount;
    /** Whether the newest owner learns of the end of the others; for two owners. */
    boolean endsAreKnown;

    private boolean reportedEnds;
    long nowMs = 1_000;

    /** @param latency one-way latency of each message in milliseconds */
    TwoOwnersSimulation(int workerCount, LongSupplier latency) {
        this.latency = latency;
        for (int i = 0; i < workerCount; i++) {
            String id = "w" + i;
            WorkerEntry entry = new WorkerEntry(
                    id,
                    "pool",
                    "10.0.0.1",
                    8_000 + i,
                    "dc",
                    "r",
                    false,
                    -1,
                    500,
                    new Resources(16_000, 32_000, 0),
                    List.of());
            recorded.put(id, entry);
            workers.put(id, new SimWorker(entry, history));
        }
    }

    /** A VM claims the pool, loads the stored jobs and polls the workers. */
    Owner claim() {
        Owner owner = new Owner(owners.size() + 1);
        owners.add(owner);
        return owner;
    }

    /** The owner has loaded the pool. Links may be cut between its claim and this. */
    void load(Owner owner, String... unregistered) {
        storedJobs.values().forEach(job -> owner.scheduler.load(job, storedProgress.get(job.id()), false, nowMs));
        recorded.values().stream()
                .filter(entry -> !List.of(unregistered).contains(entry.id()))
                .forEach(entry -> owner.scheduler.onWorkerRegistered(entry, nowMs));
        recorded.values().forEach(owner.scheduler::onWorkerRecorded);
        owner.scheduler.beginRecovery(nowMs);
        recorded.keySet().forEach(owner::poll);
    }

    void store(PoolJob job) {
        storedJobs.put(job.id(), job);
        claimsOfJobs.put(job.id(), (long) owners.size());
    }

    void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventCount++, action));
    }

    void runUntil(long untilMs) {
        while (nowMs < untilMs) {
            nowMs++;
            workers.values().forEach(worker -> worker.advance(nowMs));
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.poll().action().run();
            }
            owners.forEach(Owner::step);
            reportEnds();
        }
    }

    /** Tells the newest owner in the millisecond in which the last of the others ends. */
    private void reportEnds() {
        if (endsAreKnown && owners.size() > 1 && !reportedEnds) {
            Owner newest = owners.get(owners.size() - 1);
            reportedEnds = owners.stream().allMatch(owner -> owner == newest || owner.closed);
            if (reportedEnds) {
                newest.scheduler.onEarlierOwnersEnded(nowMs);
            }
        }
    }

    private Answer startOn(SimWorker worker, StartOrder order) {
        StepSpec step = storedJobs.get(order.run().task().jobId()).steps().get(0);
        return worker.start(
                order, nowMs, step.perTask(), false, step.checkpoint(), step.estimateMs(), RunEnd.DONE, null);
    }
}
