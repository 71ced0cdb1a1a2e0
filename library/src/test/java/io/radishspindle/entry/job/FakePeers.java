package io.radishspindle.entry.job;

import io.radishspindle.error.Failure;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobStatus;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.protocol.message.JobStatusReply;
import io.radishspindle.protocol.message.QueryJob;
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
    private final Map<String, Failure> queryFailures = new HashMap<>();

    void failAt(String vm, Failure failure) {
        failures.put(vm, failure);
    }

    void answerQueries(String vm, Failure failure) {
        queryFailures.put(vm, failure);
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
        if (message instanceof QueryJob query) {
            return Future.succeededFuture(queried(toVm, query).map(replyType::cast));
        }
        asked.add(toVm);
        if (failures.containsKey(toVm)) {
            return Future.succeededFuture(Either.left(failures.get(toVm)));
        }
        return Future.succeededFuture(
                Either.right(replyType.cast(status(((SubmitJob) message).job().id()))));
    }

    private Either<Failure, PeerMessage> queried(String vm, QueryJob query) {
        if (failures.containsKey(vm)) {
            return Either.left(failures.get(vm));
        }
        if (queryFailures.containsKey(vm)) {
            return Either.left(queryFailures.get(vm));
        }
        return Either.right(status(query.jobId()));
    }

    private static JobStatusReply status(String jobId) {
        return new JobStatusReply(
                new JobStatus(jobId, "", "team", JobClass.BATCH, JobStatus.Phase.WAITING, 1, 1, 0, 0, 0, 0, 0, ""));
    }

    @Override
    public void send(String toVm, PeerMessage message) {
        asked.add(toVm);
    }
}
