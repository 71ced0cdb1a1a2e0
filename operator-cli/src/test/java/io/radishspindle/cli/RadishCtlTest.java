package io.radishspindle.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import com.codahale.metrics.MetricRegistry;
import io.radishspindle.config.ConfigService;
import io.radishspindle.entry.OperatorApi;
import io.radishspindle.error.Failure;
import io.radishspindle.membership.GroupSummary;
import io.radishspindle.membership.MembershipView;
import io.radishspindle.membership.MembershipView.EntryVm;
import io.radishspindle.membership.MembershipView.Liveness;
import io.radishspindle.model.Resources;
import io.radishspindle.platform.SystemClock;
import io.radishspindle.protocol.PeerMessage;
import io.radishspindle.protocol.PeerMessenger;
import io.radishspindle.settings.EntrySettings;
import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards the commands, their exit codes and the operators' interface behind them. */
class RadishCtlTest {
    private static final String[] REASON = {"--reason", "autumn season"};

    private final Vertx vertx = Vertx.vertx();
    private final MemoryStore store = new MemoryStore();
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();
    private String server = "";

    /** A messenger of a VM without peers. */
    private static final class NoPeers implements PeerMessenger {
        @Override
        public <T extends PeerMessage> void handle(Class<T> type, Handler<T> handler) {}

        @Override
        public <R extends PeerMessage> Future<Either<Failure, R>> request(
                String toVm, PeerMessage message, Class<R> replyType, long timeoutMs) {
            return Future.succeededFuture(Either.left(Failure.outcomeUnknown("peer.request", toVm, "no peers")));
        }

        @Override
        public void send(String toVm, PeerMessage message) {}
    }

    private static MembershipView view() {
        EntryVm self = new EntryVm("a1", "a", "127.0.0.1", 1, Liveness.LIVE, 0, List.of());
        EntryVm lost = new EntryVm("b1", "b", "127.0.0.1", 2, Liveness.DEAD, 0, List.of());
        Resources some = new Resources(1000, 1024, 1);
        GroupSummary group = new GroupSummary("a/g0", 3, some, some, some, 7, true);
        return new MembershipView(
                self,
                List.of(self, lost),
                List.of(),
                List.of(),
                Map.of("a/g0", new MembershipView.OwnedGroup("a1", group)));
    }

    @BeforeEach
    void start() {
        EntrySettings settings = new EntrySettings(
                new EntrySettings.Vm("a1", "a", "r", "127.0.0.1"),
                null,
                null,
                new EntrySettings.Platform("", 1, "", 1, 1000, 1000),
                null,
                null);
        ConfigService config = new ConfigService(vertx, new SystemClock(), store, new NoPeers(), settings);
        await(config.start());
        Router router = Router.router(vertx);
        new OperatorApi(new SystemClock(), config, RadishCtlTest::view, new MetricRegistry()).addRoutes(router);
        HttpServer http = await(vertx.createHttpServer().requestHandler(router).listen(0, "127.0.0.1"));
        server = "127.0.0.1:" + http.actualPort();
        for (int i = 0; i < 200 && config.current().isEmpty(); i++) {
            await(vertx.timer(20, TimeUnit.MILLISECONDS));
        }
    }

    @AfterEach
    void stop() {
        await(vertx.close());
    }

    private static <T> T await(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(30, TimeUnit.SECONDS)
                .join();
    }

    private ExitCode run(String... args) {
        out.getBuffer().setLength(0);
        err.getBuffer().setLength(0);
        String[] all = new String[args.length + 4];
        System.arraycopy(new String[] {"--server", server, "--actor", "alice"}, 0, all, 0, 4);
        System.arraycopy(args, 0, all, 4, args.length);
        return new RadishCtl(new PrintWriter(out, true), new PrintWriter(err, true)).run(all);
    }

    private ExitCode setQueue(String value, String... more) {
        String[] all = new String[6 + more.length];
        System.arraycopy(new String[] {"defaults", "set", "max-queued-tasks", value}, 0, all, 0, 4);
        System.arraycopy(REASON, 0, all, 4, 2);
        System.arraycopy(more, 0, all, 6, more.length);
        return run(all);
    }

    @Test
    void should_set_a_default_and_show_it_in_the_audit_entries() {
        // given, when
        ExitCode code = setQueue("30000");

        // then
        assertThat(code).isEqualTo(ExitCode.OK);
        assertThat(out.toString()).isEqualTo("revision 1: set default max-queued-tasks to 30000\n");
        run("defaults", "list");
        assertThat(out.toString())
                .containsPattern("max-queued-tasks +30000 +20000")
                .contains("revision 1");
        run("audit", "--by", "alice", "--json");
        assertThat(out.toString().lines()).hasSize(1).allMatch(line -> line.contains("\"before\":\"20000\""));
        run("audit", "--by", "bruno", "--json");
        assertThat(out.toString()).isEmpty();
    }

    @Test
    void should_add_and_end_an_exception() {
        // given
        String[] add = {
            "exceptions",
            "add",
            "team-quota-cores",
            "512",
            "--for",
            "team:layout",
            "--until",
            "2099-01-01T00:00:00Z",
            "--reason",
            "graduation batch"
        };

        // when, then
        assertThat(run(add)).isEqualTo(ExitCode.OK);
        run("exceptions", "list");
        assertThat(out.toString())
                .containsPattern("x1 +team-quota-cores +512 +team +layout +2099-01-01T00:00:00Z +true");
        assertThat(run(add)).isEqualTo(ExitCode.REFUSED);
        assertThat(err.toString()).contains("exception x1 by alice concerns the same");
        assertThat(run("exceptions", "end", "x1", "--reason", "done")).isEqualTo(ExitCode.OK);
        run("exceptions", "list", "--json");
        assertThat(out.toString()).contains("\"exceptions\" : [ ]");
    }

    @Test
    void should_report_a_conflict_with_the_other_change() {
        // given
        setQueue("30000");

        // when
        ExitCode code = setQueue("40000", "--based-on", "0");

        // then
        assertThat(code).isEqualTo(ExitCode.CONFLICT);
        assertThat(err.toString()).contains("change 1 by alice (set default max-queued-tasks to 30000");
    }

    @ParameterizedTest
    @CsvSource({
        "STORE_DOWN, UNAVAILABLE, nothing was changed",
        "ANSWER_LOST, OK, ''",
    })
    void should_say_whether_a_change_was_applied(MemoryStore.Fault fault, ExitCode expected, String message) {
        // given
        store.setFault(fault);

        // when
        ExitCode code = setQueue("30000");

        // then
        assertThat(code).isEqualTo(expected);
        assertThat(err.toString()).contains(message);
    }

    @ParameterizedTest
    @CsvSource({
        "defaults set max-queued-tasks many --reason x, REFUSED, must be a whole number from 1 to 1000000",
        "defaults set no-such-key 1 --reason x, REFUSED, unknown key 'no-such-key'",
        "defaults set max-queued-tasks 5, USAGE, --reason",
        "exceptions add retry-budget 0.2 --for team:a --until 2099-01-01T00:00:00Z --reason x, REFUSED, has no",
        "exceptions add retry-budget 0.2 --for a --until 2099-01-01T00:00:00Z --reason x, USAGE, is not SCOPE",
        "exceptions add retry-budget 0.2 --for service:a --until tomorrow --reason x, REFUSED, endsAt: must be a time",
        "exceptions end x9 --reason x, REFUSED, there is no exception x9",
        "audit --since yesterday, REFUSED, must be times like",
        "frobnicate, USAGE, frobnicate",
    })
    void should_refuse_wrong_input_with_a_clear_message(String command, ExitCode expected, String message) {
        // given, when
        ExitCode code = run(command.split(" "));

        // then
        assertThat(code).isEqualTo(expected);
        assertThat(err.toString()).contains(message);
    }

    @Test
    void should_say_which_vms_are_not_reached() {
        // given, when
        ExitCode lenient = run("groups");

        // then
        assertThat(lenient).isEqualTo(ExitCode.OK);
        assertThat(out.toString()).containsPattern("a/g0 +a1 +LIVE +3 +true +7");
        assertThat(err.toString()).contains("VM a1 does not reach b1");
        assertThat(run("vms", "--strict")).isEqualTo(ExitCode.INCOMPLETE);
        assertThat(run("config", "status", "--strict")).isEqualTo(ExitCode.INCOMPLETE);
    }

    /** Guards against examples in the help that the parser refuses. */
    @Test
    void should_accept_the_examples_of_its_own_help() {
        // given
        String examples = Arguments.EXAMPLES.substring(0, Arguments.EXAMPLES.indexOf("exit codes"));
        List<String> lines = examples.replace("\\\n", " ")
                .lines()
                .map(String::strip)
                .filter(line -> line.startsWith("radishctl "))
                .toList();

        // when, then
        assertThat(lines).hasSize(8);
        for (String line : lines) {
            String[] words = line.replaceAll("\"[^\"]*\"", "text").split(" +");
            assertThatCode(() -> Arguments.parser().parseArgs(Arrays.copyOfRange(words, 1, words.length)))
                    .as(line)
                    .doesNotThrowAnyException();
        }
    }

    @Test
    void should_say_that_no_server_answers() {
        // given
        server = "127.0.0.1:1";

        // when
        ExitCode code = run("vms");

        // then
        assertThat(code).isEqualTo(ExitCode.UNAVAILABLE);
        assertThat(err.toString()).contains("no server answered: 127.0.0.1:1: can't connect");
    }
}
