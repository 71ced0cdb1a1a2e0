package io.radishspindle.standin;

import static io.radishspindle.standin.InProcess.await;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.model.TaskAttempt;
import io.radishspindle.model.TaskId;
import io.radishspindle.model.WorkerInfo;
import io.radishspindle.platform.VmList;
import io.radishspindle.platform.WorkerClient;
import io.radishspindle.platform.WorkerClient.ControlReply;
import io.radishspindle.platform.WorkerClient.ControlRequest;
import io.radishspindle.platform.WorkerClient.Mode;
import io.radishspindle.platform.WorkerClient.Start;
import io.radishspindle.platform.http.HttpVmList;
import io.radishspindle.platform.http.HttpWorkerClient;
import io.vavr.control.Either;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the adapters of workers and VM list against a disagreement with the stand-ins about the wire. */
class WorkerOverHttpTest {
    private static final Resources CAPACITY = new Resources(4_000, 4_096, 0);
    private static final TaskAttempt ATTEMPT = new TaskAttempt(new TaskId("job", 3), 1, 2);

    private final InProcess process = new InProcess();

    @TempDir
    private Path directory;

    @AfterEach
    void stop() {
        process.close();
    }

    @Test
    void should_start_a_task_and_record_it_in_history_and_file() throws Exception {
        // given
        WorkerServer server = process.start(new WorkerServer(
                InProcess.address("worker"),
                new WorkerCore.Options(CAPACITY, 100, 50, 0),
                false,
                History.in(directory, "w")));
        WorkerClient client = new HttpWorkerClient(process.vertx);
        WorkerInfo worker = new WorkerInfo("worker-1", "dc", "rack", "127.0.0.1", server.port(), CAPACITY);
        // when
        ControlReply claimed =
                await(client.control(worker, message(Mode.CLAIM, 1, 0), 2_000)).get();
        ControlReply started = await(client.control(worker, message(Mode.CONTROL, 2, claimed.workerTimeMs()), 2_000))
                .get();
        // then
        assertThat(started.accepted()).isTrue();
        assertThat(started.refused()).isEmpty();
        assertThat(process.get(server, "/admin/history")).contains("\"START\"", "\"jobId\":\"job\"");
        assertThat(Files.readString(directory.resolve("w.jsonl"))).contains("\"BOOT\"", "\"START\"");
    }

    @Test
    void should_report_an_unreachable_worker_as_not_run_and_a_silent_one_as_unknown() {
        // given
        WorkerServer server = process.start(new WorkerServer(
                InProcess.address("worker"), new WorkerCore.Options(CAPACITY, 100, 50, 0), false, History.inMemory()));
        WorkerInfo worker = new WorkerInfo("worker-1", "dc", "rack", "127.0.0.1", server.port(), CAPACITY);
        WorkerClient client = new HttpWorkerClient(process.vertx);
        process.post(server, "/admin/faults", "{\"out\": \"hang\"}");
        // when
        Either<Failure, ControlReply> silent = await(client.control(worker, message(Mode.CLAIM, 1, 0), 200));
        process.stop(server);
        Either<Failure, ControlReply> gone = await(client.control(worker, message(Mode.CLAIM, 2, 0), 2_000));
        // then
        assertThat(silent.getLeft().notRun()).isFalse();
        assertThat(gone.getLeft().notRun()).isTrue();
    }

    @Test
    void should_show_the_list_of_an_ini_file_and_later_changes() throws Exception {
        // given
        Path file = Files.writeString(
                directory.resolve("vms.ini"),
                "[w.1]\nkind = worker\ndata-centre = seoul\nport = 7001\nmilli-cores = 16000\n"
                        + "[e-1]\nkind = endpoint\ndata-centre = busan\nport = 7002\nservice = layout\nslots = 8\n");
        VmListServer server = process.start(new VmListServer(InProcess.address("vm-list"), VmListFile.read(file), 0));
        VmList list = new HttpVmList(process.vertx, "127.0.0.1", server.port(), 2_000);
        // when
        VmList.Listing first = await(list.fetch()).get();
        process.post(server, "/admin/vms", "{\"remove\": [\"w.1\"]}");
        VmList.Listing second = await(list.fetch()).get();
        // then
        assertThat(first.vms()).extracting(VmList.Vm::id).containsExactly("w.1", "e-1");
        assertThat(second.vms()).extracting(VmList.Vm::id).containsExactly("e-1");
        assertThat(second.version()).isGreaterThan(first.version());
    }

    @Test
    void should_show_a_change_only_after_the_lag() {
        // given
        VmListState state = new VmListState(List.of(), 500);
        VmList.Vm vm = new VmList.Vm(
                "a", VmList.Kind.ENTRY, "dc", "", "127.0.0.1", 1, VmList.State.LIVE, "", 0, 0, Resources.NONE);
        // when
        state.change(1_000, List.of(vm), List.of());
        // then
        assertThat(state.visible(1_499).vms()).isEmpty();
        assertThat(state.visible(1_500).vms()).containsExactly(vm);
    }

    private static ControlRequest message(Mode mode, long sequence, long echoedMs) {
        Start start = new Start(ATTEMPT, new Resources(1_000, 10, 0), 60_000, Map.of("runMs", "forever"));
        return new ControlRequest(
                mode, 1, 0, "vm-1", sequence, echoedMs, 3_000, 6_000, List.of(start), List.of(), List.of());
    }
}
