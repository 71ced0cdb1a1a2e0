package io.radishspindle.ownership;

import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.platform.WorkerClient;
import io.radishspindle.platform.WorkerClient.ControlReply;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Answers to the claims of a new owner until it serves. Not thread-safe.
 *
 * <p>While an owner waits for a majority, the old owner may go on, so that an early answer can be seconds old when
 * the last one arrives. An owner starts a further attempt of a task only when the earlier one has ended for
 * certain. Therefore an attempt that was reported as running has ended if any worker reports a later attempt of its
 * task.
 */
final class ClaimReplies {
    private static final Comparator<TaskAttempt> BY_AGE =
            Comparator.comparingLong(TaskAttempt::epoch).thenComparingInt(TaskAttempt::number);

    private final Map<String, ControlReply> byWorker = new TreeMap<>();

    void put(String workerId, ControlReply reply) {
        byWorker.put(workerId, reply);
    }

    /** Answers by worker, without attempts that a later one replaced. */
    Map<String, ControlReply> withoutReplaced() {
        Map<TaskId, TaskAttempt> latest = new HashMap<>();
        for (ControlReply reply : byWorker.values()) {
            reply.running().forEach(running -> note(latest, running.attempt()));
            reply.finished().forEach(finished -> note(latest, finished.attempt()));
        }
        Map<String, ControlReply> result = new TreeMap<>();
        byWorker.forEach((worker, reply) -> result.put(worker, withRunning(reply, latest)));
        return result;
    }

    private static void note(Map<TaskId, TaskAttempt> latest, TaskAttempt attempt) {
        latest.merge(attempt.task(), attempt, (a, b) -> BY_AGE.compare(a, b) >= 0 ? a : b);
    }

    private static ControlReply withRunning(ControlReply reply, Map<TaskId, TaskAttempt> latest) {
        List<WorkerClient.Running> running = reply.running().stream()
                .filter(each -> each.attempt().equals(latest.get(each.attempt().task())))
                .toList();
        return new ControlReply(
                reply.accepted(),
                reply.workerTimeMs(),
                reply.epoch(),
                reply.term(),
                reply.holder(),
                running,
                reply.finished(),
                reply.refused(),
                reply.leaving());
    }
}
