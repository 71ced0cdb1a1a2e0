package io.radishspindle.pool.runtime;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.pool.core.PoolAction;
import java.util.Locale;
import org.tinylog.Logger;

/**
 * Logs and counts what an owner's scheduler reports of jobs, runs and workers: one line per event, limited in number.
 * Confined to one event loop.
 */
final class PoolEventLog {
    private final MetricRegistry metrics;
    private final BoundedLog log;
    private final String pool;
    private final long fencingToken;

    PoolEventLog(MetricRegistry metrics, BoundedLog log, String pool, long fencingToken) {
        this.metrics = metrics;
        this.log = log;
        this.pool = pool;
        this.fencingToken = fencingToken;
    }

    /** Logs an action that is an event; ignores the orders to workers. */
    void log(PoolAction action) {
        if (action instanceof PoolAction.JobEnded ended) {
            onJobEnded(ended);
        } else if (action instanceof PoolAction.RunLost lost) {
            onRunLost(lost);
        } else if (action instanceof PoolAction.WorkerCrashed crashed) {
            onWorkerCrashed(crashed);
        } else if (action instanceof PoolAction.TrialStarted trial) {
            if (log.allows("task-trial")) {
                Logger.info(
                        "event=task-trial task={} attempt={} workers={} pool={} token={} crashes=\"{}\"",
                        trial.task(),
                        trial.attempt(),
                        String.join(",", trial.workers()),
                        pool,
                        fencingToken,
                        trial.crashes());
            }
        } else if (action instanceof PoolAction.SuspectCleared cleared) {
            if (log.allows("task-cleared")) {
                Logger.info(
                        "event=task-cleared task={} pool={} crashes=\"{}\" reason=\"a run has survived its start\"",
                        cleared.task(),
                        pool,
                        cleared.crashes());
            }
        } else if (action instanceof PoolAction.TaskGivenUp givenUp) {
            metrics.counter("pool.tasks.given-up").inc();
            Logger.warn(
                    "event=task-given-up job={} task={} queue={} pool={} token={} crashes=\"{}\""
                            + " release=\"submit the job again under a new id\"",
                    givenUp.task().jobId(),
                    givenUp.task(),
                    givenUp.queue(),
                    pool,
                    fencingToken,
                    givenUp.crashes());
        } else if (action instanceof PoolAction.TaskDelayed delayed) {
            onTaskDelayed(delayed);
        } else if (action instanceof PoolAction.WorkerLost lost) {
            onWorkerLost(lost);
        } else if (action instanceof PoolAction.EndAfterLoss ended) {
            onEndAfterLoss(ended);
        } else if (action instanceof PoolAction.WorkerChanged changed) {
            Logger.info(
                    "event=worker-{} worker={} pool={} reason=\"{}\"",
                    changed.change(),
                    changed.workerId(),
                    pool,
                    changed.reason());
        }
    }

    private void onJobEnded(PoolAction.JobEnded ended) {
        metrics.counter("pool.jobs." + ended.phase().toLowerCase(Locale.ROOT)).inc();
        if (log.allows("job-ended")) {
            Logger.info(
                    "event=job-ended job={} queue={} phase={} token={} age_ms={} steps=\"{}\" reason=\"{}\"",
                    ended.jobId(),
                    ended.queue(),
                    ended.phase(),
                    fencingToken,
                    ended.ageMs(),
                    ended.timeline(),
                    ended.reason());
        }
    }

    private void onTaskDelayed(PoolAction.TaskDelayed delayed) {
        metrics.counter("pool.tasks.delayed." + delayed.obstacle()).inc();
        if (log.allows("task-delayed")) {
            Logger.info(
                    "event=task-delayed task={} queue={} lasting={} pool={} token={} waited_ms={} obstacle={}"
                            + " workers=\"{}\"",
                    delayed.task(),
                    delayed.queue(),
                    delayed.lasting(),
                    pool,
                    fencingToken,
                    delayed.waitedMs(),
                    delayed.obstacle(),
                    delayed.workers());
        }
    }

    private void onWorkerCrashed(PoolAction.WorkerCrashed crashed) {
        metrics.counter("pool.workers.crashed").inc();
        if (log.allows("worker-crashed")) {
            Logger.warn(
                    "event=worker-crashed worker={} address={}:{} pool={} token={} suspects={} blame={} bystanders={}"
                            + " lost_together={}",
                    crashed.worker().id(),
                    crashed.worker().host(),
                    crashed.worker().port(),
                    pool,
                    fencingToken,
                    String.join(",", crashed.suspects()),
                    blame(crashed),
                    crashed.bystanders(),
                    String.join(",", crashed.lostTogether()));
        }
    }

    private static String blame(PoolAction.WorkerCrashed crashed) {
        if (crashed.sole()) {
            return "sole";
        }
        return crashed.suspects().isEmpty() ? "none" : "shared";
    }

    private void onWorkerLost(PoolAction.WorkerLost lost) {
        metrics.counter("pool.workers.lost").inc();
        if (log.allows("worker-lost")) {
            Logger.info(
                    "event=worker-lost worker={} address={}:{} pool={} token={} runs={} answer_age_ms={} failing_ms={}"
                            + " failed_holds={} lease={} lease_expired_ms={} reason=\"{}\"",
                    lost.worker().id(),
                    lost.worker().host(),
                    lost.worker().port(),
                    pool,
                    fencingToken,
                    lost.runs(),
                    lost.answerAgeMs(),
                    lost.failingMs(),
                    lost.failedHolds(),
                    lost.leaseSource(),
                    lost.expiredMs(),
                    lost.reason());
        }
    }

    private void onEndAfterLoss(PoolAction.EndAfterLoss ended) {
        metrics.counter("pool.runs.ended-after-loss").inc();
        if (log.allows("end-after-loss")) {
            Logger.warn(
                    "event=end-after-loss run={} worker={} address={}:{} pool={} token={} end={} since_loss_ms={}",
                    ended.run(),
                    ended.worker().id(),
                    ended.worker().host(),
                    ended.worker().port(),
                    pool,
                    fencingToken,
                    ended.end(),
                    ended.sinceMs());
        }
    }

    private static String number(long event) {
        return event == Long.MAX_VALUE ? "none" : Long.toString(event);
    }

    private void onRunLost(PoolAction.RunLost lost) {
        metrics.counter("pool.runs.lost").inc();
        if (log.allows("run-lost")) {
            Logger.info(
                    "event=run-lost run={} worker={} address={}:{} pool={} token={} age_ms={} others={} losses={}"
                            + " answer_no={} report_no={} reason=\"{}\"",
                    lost.run(),
                    lost.worker().id(),
                    lost.worker().host(),
                    lost.worker().port(),
                    pool,
                    fencingToken,
                    lost.ageMs(),
                    lost.others(),
                    lost.losses(),
                    number(lost.resolvedBy()),
                    number(lost.shownBy()),
                    lost.reason());
        }
    }
}
