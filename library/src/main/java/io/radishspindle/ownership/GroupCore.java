package io.radishspindle.ownership;

import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.Resources;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.placement.GroupPlacement;
import io.radishspindle.placement.PlacementPolicy;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.tinylog.Logger;

/**
 * One group as one entry VM sees it: without an owner, owned by another VM or by this one, or with this VM as
 * caretaker. Not thread-safe.
 *
 * <p>Invariants: the store is the only arbiter, so a VM becomes owner only by a write of the record that is known to
 * have applied; a VM is never owner and caretaker at once; an ended {@link Owner} is replaced by one of a higher
 * epoch.
 */
final class GroupCore implements Owner.Listener {
    private static final long CHANGE_CHECK_MS = 1_000;
    private static final long PARKED_MS = 3_000;

    private record Parked(long request, JobSpec job, long untilMs) {}

    private final Effects fx;
    private final OwnershipTiming timing;
    private final String group;
    private final String dataCentre;
    private final String recordKey;
    private final LongFunction<GroupPlacement> placements;
    private final JoiningWorkers joining;
    private final TakeoverPolicy takeovers;
    private final List<Parked> parked = new ArrayList<>();
    private List<WorkerInfo> assigned = List.of();
    private PlacementPolicy policy = PlacementPolicy.DEFAULT;
    private @Nullable MembershipView view;
    private @Nullable OwnershipRecord known;
    private long knownVersion;
    private @Nullable Owner owner;
    private @Nullable Caretaker caretaker;
    private @Nullable CertainWrite write;
    private boolean reading;
    private boolean changing;
    private boolean released;
    private long graceUntilMs = Quorum.NEVER;
    private long nextReadAtMs = Quorum.NEVER;
    private long nextChangeAtMs = Quorum.NEVER;
    private long releaseByMs = Long.MAX_VALUE;

    GroupCore(
            Effects fx,
            OwnershipTiming timing,
            String dataCentre,
            String name,
            LongFunction<GroupPlacement> placements) {
        this.fx = fx;
        this.timing = timing;
        this.dataCentre = dataCentre;
        this.group = dataCentre + "/" + name;
        this.recordKey = "group/" + group + "/owner";
        this.placements = placements;
        this.joining = new JoiningWorkers(fx, timing);
        this.takeovers = new TakeoverPolicy(fx, dataCentre, group);
    }

    String group() {
        return group;
    }

    Optional<Owner> serving() {
        return Optional.ofNullable(owner).filter(Owner::isServing);
    }

    /** What this VM announces; a VM that is the owner by the record announces also that it may not start tasks. */
    Optional<GroupSummary> summary() {
        Owner current = owner;
        if (current != null) {
            return Optional.of(current.summary());
        }
        OwnershipRecord record = known;
        if (record == null || released || !record.ownerVm().equals(fx.self())) {
            return Optional.empty();
        }
        Resources none = Resources.NONE;
        return Optional.of(new GroupSummary(group, record.epoch(), none, none, none, 0, false));
    }

    void update(MembershipView next, List<WorkerInfo> workers) {
        if (view == null) {
            graceUntilMs = fx.now() + timing.startGraceMs();
        }
        view = next;
        assigned = workers;
        Owner current = owner;
        if (current != null) {
            current.noteLeaving(leavingWorkers(next));
        }
    }

    void update(PlacementPolicy next) {
        policy = next;
        Owner current = owner;
        if (current != null) {
            current.update(next);
        }
    }

    /** @param epoch the only epoch in which the job may be accepted; 0 for any */
    void submit(long request, long epoch, JobSpec job) {
        Owner current = owner;
        boolean otherEpoch = changing || current == null || current.record().epoch() != epoch;
        if (epoch != 0 && otherEpoch) {
            fx.answer(request, Either.left(JobCoordinator.notOwner("group.submit", group)));
        } else if (changing && !fx.storeDown()) {
            parked.add(new Parked(request, job, fx.now() + PARKED_MS));
        } else if (current != null && current.isServing()) {
            current.submit(request, job);
        } else {
            fx.answer(request, Either.left(JobCoordinator.notOwner("group.submit", group)));
        }
    }

    void release() {
        released = true;
        releaseByMs = fx.now() + timing.controlLeaseMs();
        closeCaretaker();
        Owner current = owner;
        if (current != null) {
            current.stop();
        }
    }

    boolean isReleased() {
        return released && owner == null && write == null;
    }

    void tick() {
        CertainWrite pending = write;
        if (pending != null) {
            pending.tick();
        }
        Owner current = owner;
        if (current != null) {
            current.tick();
        }
        unpark();
        if (released) {
            tickRelease();
            return;
        }
        if (owner != null) {
            considerChange();
        } else {
            considerTakeover();
        }
        Caretaker care = caretaker;
        if (care != null) {
            care.tick();
        }
    }

    void flush() {
        Owner current = owner;
        if (current != null) {
            current.flush();
        }
    }

    @Override
    public void ended(Owner ending, Owner.End end) {
        if (owner == ending) {
            owner = null;
            changing = false;
            nextReadAtMs = Quorum.NEVER;
            if (end == Owner.End.SUPERSEDED) {
                takeovers.holdOff();
            }
        }
    }

    private void unpark() {
        if (parked.isEmpty()) {
            return;
        }
        Owner current = owner;
        boolean ready = !changing && current != null && current.isServing();
        List<Parked> waiting = List.copyOf(parked);
        parked.clear();
        for (Parked each : waiting) {
            if (current != null && ready) {
                current.submit(each.request(), each.job());
            } else if (fx.now() > each.untilMs()) {
                fx.answer(each.request(), Either.left(JobCoordinator.notOwner("group.submit", group)));
            } else {
                parked.add(each);
            }
        }
    }

    private void considerTakeover() {
        MembershipView now = view;
        if (now == null || fx.now() < Math.max(graceUntilMs, takeovers.holdOffUntilMs())) {
            return;
        }
        boolean eligible = takeovers.isEligible(now, known);
        if (!eligible) {
            closeCaretaker();
        }
        if (write != null) {
            if (eligible && fx.storeDown()) {
                becomeCaretaker();
            }
            return;
        }
        long interval = eligible ? OwnershipTiming.RETRY_MS : OwnershipTiming.RECORD_REFRESH_MS;
        MembershipView.OwnedGroup announced = now.groupOwners().get(group);
        OwnershipRecord record = known;
        boolean newer = announced != null
                && (record == null || announced.summary().epoch() > record.epoch())
                && fx.now() >= nextReadAtMs - OwnershipTiming.RECORD_REFRESH_MS + OwnershipTiming.RETRY_MS;
        boolean due = eligible ? fx.now() >= nextReadAtMs - OwnershipTiming.RECORD_REFRESH_MS + interval : false;
        if (!reading && (due || newer || fx.now() >= nextReadAtMs)) {
            readRecord();
        }
    }

    private void readRecord() {
        reading = true;
        nextReadAtMs = fx.now() + OwnershipTiming.RECORD_REFRESH_MS;
        fx.read(recordKey, result -> {
            reading = false;
            if (owner != null || write != null || released) {
                return;
            }
            MembershipView now = view;
            boolean eligible = now != null && takeovers.isEligible(now, known);
            if (result.isLeft()) {
                if (eligible) {
                    becomeCaretaker();
                }
                return;
            }
            known = Owner.decode(result.get());
            knownVersion = result.get().version();
            if (now != null && eligible && takeovers.mayReplace(now, known)) {
                takeOver();
            }
        });
    }

    private void takeOver() {
        OwnershipRecord record = known;
        if (record == null && assigned.isEmpty()) {
            return;
        }
        OwnershipRecord next = record == null
                ? new OwnershipRecord(1, fx.self(), assigned, Set.of(), fx.newChangeId())
                : new OwnershipRecord(
                        record.epoch() + 1, fx.self(), record.workers(), record.previous(), fx.newChangeId());
        writeRecord(next, this::become);
    }

    private void become(OwnershipRecord next, long sentAtMs) {
        closeCaretaker();
        Owner old = owner;
        if (old != null) {
            old.close();
        }
        fx.metrics().takeover();
        Logger.info(
                "event=group-taken group={} epoch={} workers={}",
                group,
                next.epoch(),
                next.workers().size());
        Owner created = Owner.create(fx, timing, group, next, sentAtMs, placements, policy, this);
        owner = created;
        MembershipView now = view;
        if (now != null) {
            created.noteLeaving(leavingWorkers(now));
        }
    }

    private static Set<String> leavingWorkers(MembershipView view) {
        return view.workers().stream()
                .filter(MembershipView.Worker::leaving)
                .map(worker -> worker.info().id())
                .collect(Collectors.toSet());
    }

    private void becomeCaretaker() {
        OwnershipRecord record = known;
        if (record == null || caretaker != null || released) {
            return;
        }
        Logger.warn("event=caretaker group={} epoch={}", group, record.epoch());
        caretaker = new Caretaker(fx, timing, record, () -> {
            caretaker = null;
            known = null;
        });
    }

    private void closeCaretaker() {
        Caretaker care = caretaker;
        if (care != null) {
            care.close();
            caretaker = null;
        }
    }

    /** Adds and removes workers by a record of the next epoch; nothing is open when all other workers answer. */
    private void considerChange() {
        Owner current = owner;
        if (current == null || write != null || !current.isServing() || fx.storeDown()) {
            return;
        }
        if (fx.now() < nextChangeAtMs) {
            return;
        }
        nextChangeAtMs = fx.now() + CHANGE_CHECK_MS;
        OwnershipRecord record = current.record();
        if (known != null && !known.previous().isEmpty()) {
            OwnershipRecord settled =
                    new OwnershipRecord(record.epoch(), record.ownerVm(), record.workers(), Set.of(), fx.newChangeId());
            writeRecord(settled, (next, sentAt) -> current.workers().requireOnlyOwn());
            return;
        }
        Set<String> removed = current.longLost();
        List<WorkerInfo> added = joining.answered(record, assigned);
        boolean idle = current.isJournalIdle() && current.workers().allReadyExcept(removed);
        if ((removed.isEmpty() && added.isEmpty()) || !idle) {
            return;
        }
        List<WorkerInfo> workers = new ArrayList<>(record.workers());
        workers.removeIf(worker -> removed.contains(worker.id()));
        workers.addAll(added);
        OwnershipRecord next =
                new OwnershipRecord(record.epoch() + 1, fx.self(), workers, record.workerIds(), fx.newChangeId());
        changing = true;
        current.workers().requireAlso(new HashSet<>(next.workerIds()));
        writeRecord(next, this::become);
    }

    private void tickRelease() {
        Owner current = owner;
        if (current == null || write != null) {
            return;
        }
        if (fx.now() > releaseByMs || !current.isServing() && fx.storeDown()) {
            current.close();
            owner = null;
            return;
        }
        if (current.isJournalIdle()) {
            OwnershipRecord record = current.record();
            OwnershipRecord free =
                    new OwnershipRecord(record.epoch(), "", record.workers(), record.previous(), fx.newChangeId());
            current.close();
            owner = null;
            writeRecord(free, (next, sentAt) -> Logger.info("event=group-released group={}", group));
        }
    }

    /** Told that a record is in force, and when its write was first sent. */
    private interface RecordWritten {
        void done(OwnershipRecord record, long sentAtMs);
    }

    private void writeRecord(OwnershipRecord next, RecordWritten applied) {
        long sentAt = fx.now();
        write = new CertainWrite(
                        fx,
                        recordKey,
                        RecordCodec.encode(next),
                        knownVersion,
                        next.changeId(),
                        value ->
                                RecordCodec.decode(value, OwnershipRecord.class).changeId(),
                        (outcome, version) -> {
                            write = null;
                            changing = false;
                            if (outcome == CertainWrite.Outcome.APPLIED) {
                                known = next;
                                knownVersion = version;
                                applied.done(next, sentAt);
                            } else {
                                recordConflict();
                            }
                        })
                .start();
    }

    /** Another VM has written the record, so its epoch is higher. */
    private void recordConflict() {
        Owner current = owner;
        if (current != null) {
            current.close();
            owner = null;
            takeovers.holdOff();
        }
        nextReadAtMs = Quorum.NEVER;
    }
}
