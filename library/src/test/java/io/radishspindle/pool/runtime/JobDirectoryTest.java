package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.pool.model.Caller;
import io.radishspindle.pool.model.CancelOutcome;
import io.radishspindle.pool.model.JobPhase;
import io.radishspindle.pool.model.JobSummary;
import io.radishspindle.pool.port.SharedStore.Item;
import io.radishspindle.pool.runtime.FakeSharedStore.Fault;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a cancellation that is lost or reported wrongly because the job's item changes concurrently. */
class JobDirectoryTest {
    private static final String POOL = "desk";
    private static final String KEY = StoreKeys.job(POOL, "j");

    private final FakeSharedStore store = new FakeSharedStore();
    private final ControlView view = new ControlView(new ManualClock());
    private final JobDirectory directory = new JobDirectory(
            new ManualClock(),
            store,
            new JobLocator(store, new PoolSlices(view)),
            new FakeMessenger(),
            view,
            new NodeIdentity("a", "1", "127.0.0.1", 1, "dc", "region", 1),
            Map.of());

    @BeforeEach
    void storeJob() {
        view.onChanged(new Item(StoreKeys.slices(POOL), Records.encode(new Records.Slices(1)), 2));
        store.items.put(KEY, new Item(KEY, new byte[] {(byte) 0x8e}, 3));
    }

    @Test
    void should_replace_the_item_of_a_cancelled_job() {
        // when
        CancelOutcome cancelled =
                directory.cancel("j", Caller.UNRESTRICTED).await().get();

        // then
        assertThat(cancelled).isEqualTo(CancelOutcome.STORED);
        assertThat(Records.isEndedJob(store.items.get(KEY).value())).isTrue();
        assertThat(directory.summary(POOL, "j").await().get().map(JobSummary::phase))
                .contains(JobPhase.CANCELLED);
    }

    @Test
    void should_cancel_a_job_whose_item_changes_concurrently() {
        // given
        store.beforeNextTransaction = () -> store.items.put(KEY, new Item(KEY, new byte[] {(byte) 0x8e}, 4));

        // when
        CancelOutcome cancelled =
                directory.cancel("j", Caller.UNRESTRICTED).await().get();

        // then
        assertThat(cancelled).isEqualTo(CancelOutcome.STORED);
        assertThat(store.items).containsKey(StoreKeys.cancellation(POOL, "j"));
    }

    private void storeJobOf(String tenant) {
        store.items.put(KEY, new Item(KEY, Records.encode(Map.of("id", "j", "tenant", tenant)), 3));
    }

    /** Guards against a cancelled job that another tenant can read afterwards. */
    @Test
    void should_keep_the_tenant_of_a_cancelled_job() {
        // given
        storeJobOf("studio");

        // when
        directory.cancel("j", Caller.UNRESTRICTED).await();

        // then
        assertThat(Records.tenantOfJob(KEY, store.items.get(KEY).value())).contains("studio");
        assertThat(directory.summary(POOL, "j").await().get()).contains(new JobSummary(JobPhase.CANCELLED, "studio"));
    }

    /** Guards against a tenant that cancels another tenant's job. */
    @Test
    void should_not_change_the_job_of_another_tenant() {
        // given
        storeJobOf("studio");

        // when
        var outcome = directory.cancel("j", new Caller("desk", true)).await().get();

        // then
        assertThat(outcome).isEqualTo(CancelOutcome.FORBIDDEN);
        assertThat(store.items.get(KEY).revision()).isEqualTo(3);
        assertThat(store.items).doesNotContainKey(StoreKeys.cancellation(POOL, "j"));
    }

    @Test
    void should_not_report_a_cancellation_as_durable_when_its_answer_is_lost() {
        // given
        store.firstFaults.addAll(List.of(Fault.NONE, Fault.NONE, Fault.NONE, Fault.LOSE_CALL));

        // when
        var result = directory.cancel("j", Caller.UNRESTRICTED).await();

        // then
        assertThat(result.getLeft().notRun()).isFalse();
    }

    /** Guards against a job that is forgotten once its queue is sent to another pool. */
    @Test
    void should_find_a_job_in_the_slice_that_its_registration_names() {
        // given
        String key = StoreKeys.job("hall", "moved");
        store.items.put(key, new Item(key, Records.encode(PoolOwnerFixture.job("moved")), 3));
        String registration = StoreKeys.registration("moved");
        byte[] slice = Records.encode(new Records.Registration("hall", "h/q/", null));
        store.items.put(registration, new Item(registration, slice, 3));

        // when
        var before = directory.summary(POOL, "moved").await().get();
        var cancelled = directory.cancel("moved", Caller.UNRESTRICTED).await().get();

        // then
        assertThat(before).map(JobSummary::phase).contains(JobPhase.QUEUED);
        assertThat(cancelled).isEqualTo(CancelOutcome.STORED);
        assertThat(directory.summary("moved").await().get().map(JobSummary::phase))
                .contains(JobPhase.CANCELLED);
    }

    @Test
    void should_find_no_job_that_was_never_stored() {
        assertThat(directory.cancel("other", Caller.UNRESTRICTED).await().get()).isEqualTo(CancelOutcome.UNKNOWN_JOB);
        assertThat(directory.summary(POOL, "other").await().get()).isEqualTo(Optional.empty());
    }
}
