package io.radishspindle.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards accepted work against the faults of real processes. Outcomes are read from the workers' and endpoints' own
 * records. Pauses and outages last longer than run lease, control lease and margin together.
 */
@Tag("processes")
@Timeout(value = 4, unit = TimeUnit.MINUTES, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ProcessFailureTest {
    /** Run lease (6 s), twice the control lease (3 s) and margin (1 s) of the default settings. */
    private static final long LONGER_THAN_LEASES_MS = 13_500;

    private RunningCluster running;

    @BeforeEach
    void start() {
        running = new RunningCluster();
    }

    @AfterEach
    void stop() {
        running.close();
    }

    @Test
    void should_finish_all_jobs_when_an_entry_vm_is_killed() {
        // given
        running.submitService("service-a");
        running.submitBatch("before", 10, 3_000);
        // when
        running.cluster.children().kill(running.ownerOfAGroup());
        running.submitBatch("after", 5, 500);
        // then
        running.awaitAllDoneWithoutViolation(16);
        assertThat(running.serviceAttempts()).isEqualTo(2);
    }

    @Test
    void should_run_no_task_in_two_places_when_an_entry_vm_is_paused_past_its_leases() {
        // given
        running.submitBatch("before", 10, 4_000);
        String paused = running.ownerOfAGroup();
        long resumeAtMs = System.currentTimeMillis() + LONGER_THAN_LEASES_MS;
        // when
        running.signal(paused, "STOP");
        running.submitBatch("during", 4, 6_000);
        running.await("leases lapsed", () -> System.currentTimeMillis() >= resumeAtMs);
        running.signal(paused, "CONT");
        running.submitBatch("after", 4, 500);
        // then
        running.awaitAllDoneWithoutViolation(18);
    }

    @Test
    void should_run_no_task_in_two_places_when_workers_are_paused_past_their_leases() {
        // given
        running.submitBatch("before", 10, 6_000);
        String paused = "seoul-plain";
        long resumeAtMs = System.currentTimeMillis() + LONGER_THAN_LEASES_MS;
        // when
        running.signal(paused, "STOP");
        running.await("leases lapsed", () -> System.currentTimeMillis() >= resumeAtMs);
        running.signal(paused, "CONT");
        running.submitBatch("after", 4, 500);
        // then
        running.awaitAllDoneWithoutViolation(14);
    }

    @Test
    void should_cut_off_no_request_when_an_entry_vm_is_terminated() throws Exception {
        // given requests in flight at one entry VM
        EntryVm leaving = running.vm(0);
        try (RequestDriver requests = running.requestsTo(leaving, 8)) {
            requests.serviceMs(2_000);
            List<Future<?>> sent = requests.send(0, 8);
            running.await(
                    "requests run", () -> EndpointHistories.of(running.cluster).started() >= 8);
            // when
            running.cluster.children().terminate(leaving.id());
            for (Future<?> future : sent) {
                future.get(RunningCluster.LIMIT_MS, TimeUnit.MILLISECONDS);
            }
            // then
            assertThat(requests.unknown).isEmpty();
            assertThat(requests.answered).hasSize(8);
            running.await(
                    "process ends",
                    () -> !running.cluster.children().get(leaving.id()).isAlive());
        }
    }

    @Test
    void should_interrupt_no_service_when_all_entry_vms_are_replaced_one_by_one() {
        // given
        running.submitService("service-a");
        running.submitBatch("before", 6, 20_000);
        // when
        for (EntryVm vm : running.cluster.entryVms()) {
            running.cluster.children().terminate(vm.id());
            running.await(
                    vm.id() + " ends",
                    () -> !running.cluster.children().get(vm.id()).isAlive());
            running.cluster.restartEntryVm(vm.id());
            running.awaitReady(vm);
            running.submitBatch("during-" + vm.id(), 2, 200);
        }
        // then
        running.awaitAllDoneWithoutViolation(13);
        assertThat(running.serviceAttempts()).isEqualTo(2);
    }

    @Test
    void should_keep_tasks_running_when_the_store_is_out_longer_than_every_lease() {
        // given
        running.submitService("service-a");
        running.submitBatch("before", 4, 8_000);
        long endsAtMs = System.currentTimeMillis() + LONGER_THAN_LEASES_MS;
        // when
        running.setStoreFaults("{\"out\": \"hang\"}");
        Http.Result refused = running.http.call(
                "POST",
                running.vm(1).callersUrl() + "/jobs",
                Map.of(),
                RunningCluster.urgent("during").body().encode());
        running.await("outage ends", () -> System.currentTimeMillis() >= endsAtMs);
        running.setStoreFaults("{}");
        running.submitBatch("after", 2, 200);
        // then
        assertThat(refused.isSuccess()).isFalse();
        running.awaitAllDoneWithoutViolation(7);
        assertThat(running.serviceAttempts()).isEqualTo(2);
    }
}
