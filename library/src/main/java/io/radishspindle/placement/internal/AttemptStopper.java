package io.radishspindle.placement.internal;

import io.radishspindle.placement.PlacementAction;
import io.radishspindle.platform.WorkerClient.Command;
import java.util.ArrayList;

/** Stops attempts and repeats the command until the worker reports the end. Not thread-safe. */
final class AttemptStopper {
    /** An urgent task starts within 1.7 s, so a checkpoint that takes longer than this is abandoned. */
    private static final long CHECKPOINT_FOR_URGENT_MS = 500;

    private static final long REPEAT_AFTER_MS = 3_000;
    private static final long NO_AUTHORITY_RETRY_MS = 250;

    private final Context context;
    private final Timers timers;

    AttemptStopper(Context context, Timers timers) {
        this.context = context;
        this.timers = timers;
    }

    void stop(Attempt attempt, StopReason reason) {
        if (attempt.isStopping()) {
            return;
        }
        attempt.stopReason = reason;
        attempt.worker.stopping = attempt.worker.stopping.plus(attempt.charged);
        send(attempt, reason);
    }

    void stopAll(JobState job, StopReason reason) {
        for (Attempt attempt : new ArrayList<>(job.live.values())) {
            stop(attempt, reason);
        }
    }

    private void send(Attempt attempt, StopReason reason) {
        if (attempt.worker.attempts.get(attempt.id) != attempt) {
            return;
        }
        if (!context.mayStart || !isReachable(attempt.worker)) {
            timers.at(context.nowMs + NO_AUTHORITY_RETRY_MS, () -> send(attempt, reason));
            return;
        }
        boolean checkpoint = !attempt.stopSent && allowsCheckpoint(reason);
        Command command = checkpoint ? Command.CHECKPOINT_AND_STOP : Command.STOP;
        attempt.stopSent = true;
        context.emit(new PlacementAction.CommandTask(attempt.id, attempt.worker.id, command, reason.text()));
        long repeatMs = checkpoint && reason == StopReason.URGENT ? CHECKPOINT_FOR_URGENT_MS : REPEAT_AFTER_MS;
        timers.at(context.nowMs + repeatMs, () -> send(attempt, reason));
    }

    private static boolean isReachable(WorkerState worker) {
        return worker.condition == WorkerState.Condition.USABLE || worker.condition == WorkerState.Condition.LEAVING;
    }

    private static boolean allowsCheckpoint(StopReason reason) {
        return reason == StopReason.URGENT || reason == StopReason.RECLAIMED || reason == StopReason.OVERUSE;
    }
}
