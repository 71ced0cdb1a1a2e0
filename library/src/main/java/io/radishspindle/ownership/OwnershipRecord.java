package io.radishspindle.ownership;

import io.radishspindle.model.WorkerInfo;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Value of {@code group/<dc>/<group>/owner}. Immutable and thread-safe.
 *
 * <p>Invariant: an epoch has one worker set. A change of the set raises the epoch, so that a caretaker with an older
 * copy of the record can't find a majority of the old set once the new owner has one.
 *
 * @param ownerVm empty after a release
 * @param previous workers of the set before the last change, until a majority of them is known to have seen this or a
 *     later epoch; until then a majority of both sets is needed
 */
record OwnershipRecord(long epoch, String ownerVm, List<WorkerInfo> workers, Set<String> previous, String changeId) {
    OwnershipRecord {
        workers = List.copyOf(workers);
        previous = Set.copyOf(previous);
    }

    Set<String> workerIds() {
        return workers.stream().map(WorkerInfo::id).collect(Collectors.toSet());
    }

    /** Worker sets of which a majority each is needed. */
    List<Set<String>> quorums() {
        return previous.isEmpty() ? List.of(workerIds()) : List.of(workerIds(), previous);
    }
}
