package io.radishspindle.pool.runtime;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Clock;
import io.radishspindle.pool.core.AdviceChannels;
import io.radishspindle.pool.port.AdviceService.Advice;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.PoolMessages.AdviceReply;
import io.radishspindle.protocol.message.PoolMessages.RequestAdvice;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Distributes an owner's calls to the advice service over all VMs, because the service handles one call at a time per
 * calling VM. The VMs are divided among the pools, so that long calls of one pool don't delay short calls of another.
 * Confined to one event loop.
 *
 * <p>Invariants: an owner has at most one call in flight through each VM; its long calls use at most half of the VMs of
 * other pools.
 */
final class AdviceDispatcher {
    /** A VM whose call has failed is not used for this long, in milliseconds; a restart takes one to two seconds. */
    private static final long VM_BACKOFF_MS = 1_000;
    /** A call that is expected to take longer than this is long: it would delay others noticeably. */
    private static final long LONG_CALL_MS = 100;
    /** A pool reserves a VM for short calls until this long after its last one, in milliseconds. */
    private static final long SHORT_CALL_RESERVE_MS = 10_000;
    /** VMs tried for one call before it fails and the owner plans again. */
    private static final int MAX_ATTEMPTS = 3;

    /** A call in flight. */
    private record Call(String pool, boolean isLong) {}

    private final AdviceChannel local;
    private final PeerMessenger messenger;
    private final NodeIdentity self;
    private final ControlView view;
    private final Supplier<List<String>> pools;
    private final Clock clock;
    /** Calls of this VM in flight, by the VM through which they go. */
    private final Map<String, Call> calls = new HashMap<>();

    private final Map<String, Long> backOffUntilMs = new HashMap<>();
    /** When the last call through a VM failed without an answer, for the VMs that have answered none since. */
    private final Map<String, Long> failedAtMs = new HashMap<>();

    private final Map<String, Long> lastShortCallMs = new HashMap<>();

    /** @param pools names of all pools, in the same order on all VMs */
    AdviceDispatcher(
            Clock clock,
            AdviceChannel local,
            PeerMessenger messenger,
            NodeIdentity self,
            ControlView view,
            Supplier<List<String>> pools) {
        this.clock = clock;
        this.local = local;
        this.messenger = messenger;
        this.self = self;
        this.view = view;
        this.pools = pools;
    }

    /** VMs through which a pool may call, divided into its own and those of other pools. */
    private final class Share {
        final List<String> own = new ArrayList<>();
        final List<String> others = new ArrayList<>();
        private final String pool;

        Share(String pool) {
            this.pool = pool;
            List<String> vms = vms();
            List<String> names = pools.get();
            int index = Math.max(0, names.indexOf(pool));
            for (int i = 0; i < vms.size(); i++) {
                boolean isOwn = names.size() <= 1 || vms.size() < names.size() || i % names.size() == index;
                (isOwn ? own : others).add(vms.get(i));
            }
        }

        List<String> idle(List<String> vms) {
            long nowMs = clock.nowMs();
            return vms.stream()
                    .filter(vm -> !calls.containsKey(vm))
                    .filter(vm -> backOffUntilMs.getOrDefault(vm, Long.MIN_VALUE) <= nowMs)
                    .toList();
        }

        /** Number of own VMs that may take a long call now. */
        int ownLongCapacity() {
            Long shortCallMs = lastShortCallMs.get(pool);
            boolean reservesOne =
                    own.size() > 1 && shortCallMs != null && clock.nowMs() - shortCallMs < SHORT_CALL_RESERVE_MS;
            return Math.max(0, idle(own).size() - (reservesOne ? 1 : 0));
        }

        /** Number of VMs of other pools that may take a long call now. */
        int otherLongCapacity() {
            long used = others.stream()
                    .filter(vm -> calls.containsKey(vm) && calls.get(vm).isLong())
                    .count();
            return (int) Math.max(0, Math.min(idle(others).size(), others.size() / 2 - used));
        }

        /** VM for a call; empty if none is available. */
        String choose(boolean isLong) {
            List<String> idleOwn = failedLast(selfLast(idle(own)));
            if (!idleOwn.isEmpty() && (!isLong || ownLongCapacity() > 0)) {
                return idleOwn.get(0);
            }
            List<String> idleOthers = failedLast(idle(others));
            return !idleOthers.isEmpty() && (!isLong || otherLongCapacity() > 0) ? idleOthers.get(0) : "";
        }
    }

    /** Channels that the owner of a pool may use now. */
    AdviceChannels channels(String pool) {
        Share share = new Share(pool);
        int idle = share.idle(share.own).size() + share.idle(share.others).size();
        boolean plentiful = 2 * idle > share.own.size() + share.others.size();
        return new ChannelBudget(idle, share.ownLongCapacity() + share.otherLongCapacity(), plentiful);
    }

    /** Budget of channels for one scheduling pass. */
    private static final class ChannelBudget implements AdviceChannels {
        private int idle;
        private int longCapacity;
        private final boolean plentiful;

        ChannelBudget(int idle, int longCapacity, boolean plentiful) {
            this.idle = idle;
            this.longCapacity = longCapacity;
            this.plentiful = plentiful;
        }

        @Override
        public boolean tryAcquire(long expectedMs) {
            boolean isLong = expectedMs > LONG_CALL_MS;
            if (idle == 0 || (isLong && longCapacity == 0)) {
                return false;
            }
            idle--;
            longCapacity -= isLong ? 1 : 0;
            return true;
        }

        @Override
        public boolean arePlentiful() {
            return plentiful;
        }
    }

    /** Number of VMs that are neither backed off nor executing a call for this VM. */
    int idleChannels(String pool) {
        Share share = new Share(pool);
        return share.idle(share.own).size() + share.idle(share.others).size();
    }

    Future<Either<Failure, Advice>> advise(String pool, String step, List<String> workers, long expectedMs) {
        return advise(pool, step, workers, expectedMs, 1);
    }

    private Future<Either<Failure, Advice>> advise(
            String pool, String step, List<String> workers, long expectedMs, int attempt) {
        boolean isLong = expectedMs > LONG_CALL_MS;
        String vm = new Share(pool).choose(isLong);
        if (vm.isEmpty()) {
            return Future.succeededFuture(Either.left(Failure.retryable(
                    ErrorCode.OVERLOADED,
                    "advice.call",
                    "",
                    "no VM is available for a call to the advice service",
                    0)));
        }
        if (!isLong) {
            lastShortCallMs.put(pool, clock.nowMs());
        }
        calls.put(vm, new Call(pool, isLong));
        return call(vm, step, workers, expectedMs).compose(result -> {
            calls.remove(vm);
            if (result.isRight()) {
                failedAtMs.remove(vm);
                return Future.succeededFuture(result);
            }
            Failure failure = result.getLeft();
            boolean busy = failure.code() == ErrorCode.OVERLOADED;
            if (!busy) {
                failedAtMs.put(vm, clock.nowMs());
            }
            backOffUntilMs.put(vm, clock.nowMs() + (busy ? failure.retryAfterMs() : VM_BACKOFF_MS));
            return busy && attempt < MAX_ATTEMPTS
                    ? advise(pool, step, workers, expectedMs, attempt + 1)
                    : Future.succeededFuture(result);
        });
    }

    private Future<Either<Failure, Advice>> call(String vm, String step, List<String> workers, long expectedMs) {
        if (vm.equals(self.vmId())) {
            return local.advise(step, workers, expectedMs);
        }
        long timeoutMs = AdviceChannel.timeoutMs(expectedMs);
        return messenger
                .request(vm, new RequestAdvice(step, workers, expectedMs), AdviceReply.class, timeoutMs)
                .map(reply -> reply.map(given -> new Advice(given.tickets(), given.validMs())));
    }

    /** All VMs, sorted, so that every VM divides them among the pools in the same way. */
    private List<String> vms() {
        Set<String> live = view.active().keySet();
        List<String> all = new ArrayList<>(live);
        if (!live.contains(self.vmId())) {
            all.add(self.vmId());
        }
        all.sort(String::compareTo);
        return all;
    }

    /**
     * Moves VMs that don't answer to the end, the last one that failed last. A call fails later than the back-off of
     * the one before ends, so that calls would go to the same two VMs in turn.
     */
    private List<String> failedLast(List<String> vms) {
        List<String> sorted = new ArrayList<>(vms);
        sorted.sort(Comparator.comparingLong(vm -> failedAtMs.getOrDefault(vm, Long.MIN_VALUE)));
        return sorted;
    }

    /** Moves this VM to the end, as its ownership already loads it. */
    private List<String> selfLast(List<String> vms) {
        List<String> sorted = new ArrayList<>(vms);
        if (sorted.remove(self.vmId())) {
            sorted.add(self.vmId());
        }
        return sorted;
    }
}
