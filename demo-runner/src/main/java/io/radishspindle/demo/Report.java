package io.radishspindle.demo;

import java.io.PrintStream;

/** Prints the outcome as a short table. Stateless. */
final class Report {
    private static final int MAX_PROBLEMS = 20;

    private Report() {}

    static void print(PrintStream out, Outcome outcome, JobDriver jobs, RequestDriver requests) {
        out.printf("%n%-28s %8s %10s%n", "", "jobs", "requests");
        row(out, "accepted", jobs.accepted().size(), requests.answered.size() + requests.unknown.size());
        row(out, "finished", outcome.jobsFinished, requests.answered.size());
        row(out, "refused as not run", jobs.refusedNotRun(), requests.refused.size());
        row(out, "repeated while undecided", jobs.undecided(), 0);
        row(out, "outcome unknown to caller", 0, requests.unknown.size());
        row(out, "run twice", outcome.inTwoPlaces.size(), outcome.ranTwice.size());
        row(out, "run but never accepted", outcome.unknownJobs.size(), 0);
        row(out, "refused but run", 0, outcome.ranThoughRefused);
        row(out, "answer of another request", 0, requests.swapped.size());
        row(out, "overfull workers", outcome.overfull.size(), 0);
        row(out, "lost", outcome.jobsLost, outcome.requestsLost);
        out.printf(
                "%n%-28s %8s %10s %10s %22s%n",
                "waiting time of tasks", "tasks", "median ms", "longest ms", "with repeated submits");
        outcome.waitingMs.forEach((jobClass, waiting) -> out.printf(
                "%-28s %8d %10d %10d %22d%n",
                jobClass,
                waiting.getTotalCount(),
                waiting.getValueAtPercentile(50),
                waiting.getMaxValue(),
                outcome.totalMs.getOrDefault(jobClass, waiting).getMaxValue()));
        out.println();
        outcome.problems.stream().limit(MAX_PROBLEMS).forEach(problem -> out.println("FAULT: " + problem));
        out.println(outcome.problems.isEmpty() ? "all guarantees held" : outcome.problems.size() + " faults");
    }

    private static void row(PrintStream out, String name, int jobs, int requests) {
        out.printf("%-28s %8d %10d%n", name, jobs, requests);
    }
}
