package io.radishspindle.ownership;

import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.Store;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a copy of the data centre's {@link WorkerAssignment}, and extends it when this VM is chosen by the rendezvous
 * hash. Not thread-safe.
 */
final class AssignmentKeeper {
    private static final long REREAD_MS = 2_000;

    private final Effects fx;
    private final String dataCentre;
    private final String key;
    private final int groupCount;
    private WorkerAssignment assignment = WorkerAssignment.EMPTY;
    private List<WorkerInfo> listed = List.of();
    private @Nullable CertainWrite write;
    private boolean reading;
    private long nextReadAtMs = Quorum.NEVER;

    AssignmentKeeper(Effects fx, String dataCentre, int groupCount) {
        this.fx = fx;
        this.dataCentre = dataCentre;
        this.key = "group/" + dataCentre + "/assignment";
        this.groupCount = groupCount;
    }

    /** Listed workers of a group that do not leave. */
    List<WorkerInfo> workersOf(int group) {
        return assignment.workersOf(group, listed);
    }

    void tick(MembershipView view) {
        listed = view.workers().stream()
                .filter(worker -> worker.info().dataCentre().equals(dataCentre) && !worker.leaving())
                .map(MembershipView.Worker::info)
                .toList();
        CertainWrite current = write;
        if (current != null) {
            current.tick();
            return;
        }
        if (reading || fx.now() < nextReadAtMs || assignment.covers(listed)) {
            return;
        }
        reading = true;
        nextReadAtMs = fx.now() + REREAD_MS;
        fx.read(key, result -> {
            reading = false;
            if (result.isRight()) {
                adopt(result.get(), view);
            }
        });
    }

    private void adopt(Store.Entry found, MembershipView view) {
        assignment =
                found.exists() ? RecordCodec.decode(found.value(), WorkerAssignment.class) : WorkerAssignment.EMPTY;
        List<String> vms = view.liveEntryVms(dataCentre).stream()
                .map(MembershipView.EntryVm::id)
                .toList();
        Optional<String> winner = Rendezvous.winner(key, vms);
        if (assignment.covers(listed) || !winner.equals(Optional.of(fx.self()))) {
            return;
        }
        WorkerAssignment next = assignment.extend(listed, groupCount, fx.newChangeId());
        write = new CertainWrite(
                        fx,
                        key,
                        RecordCodec.encode(next),
                        found.version(),
                        next.changeId(),
                        value -> RecordCodec.decode(value, WorkerAssignment.class)
                                .changeId(),
                        (outcome, version) -> {
                            write = null;
                            if (outcome == CertainWrite.Outcome.APPLIED) {
                                assignment = next;
                            }
                        })
                .start();
    }
}
