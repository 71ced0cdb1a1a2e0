package io.radishspindle.entry.job;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.JobStatusReply;
import io.radishspindle.protocol.message.SubmitJob;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Peers that accept every job, or fail as told. */
final class FakePeers implements PeerMessenger {
    private final List<String> asked = new ArrayList<>();
    private final Map<String, Failure> failures = new HashMap<>();

    void failAt(String vm, Failure failure) {
        failures.put(vm, failure);
    }

    List<String> asked() {
        return asked;
    }

    @Override
    public <T extends PeerMessage> void handle(Class<T> type, Handler<T> handler) {
        // No peer sends anything.
    }

    @Override
    public <R extends PeerMessage> Future<Either<Failure, R>> request(
            String toVm, PeerMessage message, Class<R> replyType, long timeoutMs) {
        asked.add(toVm);
        if (failures.containsKey(toVm)) {
            return Future.succeededFuture(Either.left(failures.get(toVm)));
        }
        JobSpec job = ((SubmitJob) message).job();
        JobStatus status = new JobStatus(
                job.id(), "", job.team(), job.jobClass(), JobStatus.Phase.WAITING, job.tasks(), 1, 0, 0, 0, 0, 0, "");
        return Future.succeededFuture(Either.right(replyType.cast(new JobStatusReply(status))));
    }

    @Override
    public void send(String toVm, PeerMessage message) {
        asked.add(toVm);
    }
}
