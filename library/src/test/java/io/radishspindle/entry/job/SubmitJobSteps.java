package io.radishspindle.entry.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.model.JobClass;
import io.radishspindle.model.JobSpec;
import io.radishspindle.model.JobStatus;
import io.radishspindle.model.Resources;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Steps for submitting jobs through a router whose peers are fakes. */
public class SubmitJobSteps {
    private final Map<String, MembershipView.OwnedGroup> groups = new TreeMap<>();
    private final FakePeers peers = new FakePeers();
    private final VirtualClock clock = new VirtualClock();
    private MembershipView view;
    private Future<Either<Failure, JobStatus>> result;

    @Given("the group {string} owned by {string} with {int} free cores")
    public void group(String group, String owner, int cores) {
        Resources free = cores(cores);
        groups.put(group, new MembershipView.OwnedGroup(owner, new GroupSummary(group, 1, free, free, free, 0, true)));
    }

    @Given("a caller at the entry VM {string}")
    public void caller(String vm) {
        var self = new MembershipView.EntryVm(vm, "seoul", "127.0.0.1", 1, MembershipView.Liveness.LIVE, 0, List.of());
        view = new MembershipView(self, List.of(self), List.of(), List.of(), Map.copyOf(groups));
    }

    @Given("{string} answers that it does not own the group")
    public void notOwner(String vm) {
        peers.failAt(vm, Failure.retryable(ErrorCode.NO_OWNER, "group.submit", vm, "not the owner", 100));
    }

    @Given("the connection to {string} breaks after the job was sent")
    public void connectionBreaks(String vm) {
        peers.failAt(vm, Failure.outcomeUnknown("peer.request", vm, "connection closed"));
    }

    @Given("{string} takes the group over without the job when the connection to {string} breaks")
    public void takenOverWithoutJob(String next, String lost) {
        connectionBreaks(lost);
        peers.answerQueries(next, Failure.rejected(ErrorCode.NOT_FOUND, "group.job", "no such job"));
        clock.onPass(() -> own("seoul/g0", next));
    }

    @Given("{string} takes the group over with the job when the connection to {string} breaks")
    public void takenOverWithJob(String next, String lost) {
        connectionBreaks(lost);
        clock.onPass(() -> own("seoul/g0", next));
    }

    private void own(String group, String owner) {
        Resources free = cores(16);
        groups.put(group, new MembershipView.OwnedGroup(owner, new GroupSummary(group, 2, free, free, free, 0, true)));
        view = new MembershipView(view.self(), view.entryVms(), List.of(), List.of(), Map.copyOf(groups));
    }

    @When("the caller submits a job of {int} cores")
    public void submit(int cores) {
        JobRouter router = new JobRouter(view.self().id(), () -> view, new NoGroups(), peers, clock, clock::pass);
        result = router.submit(
                id -> new JobSpec(id, "team", "family", JobClass.BATCH, 1, cores(cores), 1_000, 3, Map.of()), "x1");
    }

    @Then("the job is accepted by {string}")
    public void accepted(String group) {
        assertThat(result.result().get().group()).isEqualTo(group);
        assertThat(result.result().get().jobId()).isEqualTo(JobIds.create(group, "x1"));
    }

    @Then("only {string} was asked")
    public void onlyAsked(String vm) {
        assertThat(peers.asked()).containsExactly(vm);
    }

    @Then("nobody was asked")
    public void nobodyAsked() {
        assertThat(peers.asked()).isEmpty();
    }

    @Then("the outcome is unknown and names the job")
    public void unknown() {
        Failure failure = result.result().getLeft();
        assertThat(failure.notRun()).isFalse();
        assertThat(failure.message()).contains("seoul.g0.x1");
    }

    @Then("the job is refused as never fitting")
    public void neverFits() {
        Failure failure = result.result().getLeft();
        assertThat(failure.code()).isEqualTo(ErrorCode.NEVER_FITS);
        assertThat(failure.notRun()).isTrue();
        assertThat(failure.message()).contains("900000 mCPU").contains("64000 mCPU");
    }

    private static Resources cores(int cores) {
        return new Resources(cores * 1_000L, cores * 1_024L, 0);
    }
}
