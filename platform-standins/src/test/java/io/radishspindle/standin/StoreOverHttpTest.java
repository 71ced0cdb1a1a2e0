package io.radishspindle.standin;

import static io.radishspindle.standin.InProcess.await;
import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.platform.Store;
import io.radishspindle.platform.http.HttpStore;
import io.vavr.control.Either;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards the adapter of the store and the store stand-in against disagreeing about writes and their outcomes. */
class StoreOverHttpTest {
    private static final long TIMEOUT_MS = 2_000;

    private final InProcess process = new InProcess();
    private StoreServer server;
    private Store store;

    @BeforeEach
    void start() {
        server = process.start(new StoreServer(InProcess.address("store"), 0));
        store = new HttpStore(process.vertx, "127.0.0.1", server.port(), TIMEOUT_MS);
    }

    @AfterEach
    void stop() {
        process.close();
    }

    @Test
    void should_apply_a_write_only_with_the_expected_version() {
        // given
        String key = "group/south 1/g+1%/owner";
        assertThat(await(store.put(key, bytes("a"), Store.ABSENT)).get()).isEqualTo(1);
        // when
        Either<Failure, Long> late = await(store.put(key, bytes("b"), Store.ABSENT));
        Either<Failure, Long> next = await(store.put(key, bytes("c"), 1));
        // then
        assertThat(late.getLeft().code()).isEqualTo(ErrorCode.CONFLICT);
        assertThat(late.getLeft().notRun()).isTrue();
        assertThat(next.get()).isEqualTo(2);
        assertThat(await(store.get(key)).get().value()).isEqualTo(bytes("c"));
    }

    @Test
    void should_read_an_absent_key_as_version_absent() {
        // given a deleted key
        await(store.put("a", bytes("1"), Store.ABSENT));
        await(store.delete("a", 1));
        // when
        Store.Entry entry = await(store.get("a")).get();
        // then
        assertThat(entry.exists()).isFalse();
        assertThat(entry.revision()).isEqualTo(2);
    }

    @Test
    void should_list_only_existing_keys_under_the_prefix() {
        // given
        for (String key : List.of("a/2", "a/1", "b/1", "a/3")) {
            await(store.put(key, bytes(key), Store.ABSENT));
        }
        await(store.delete("a/3", 1));
        // when
        List<Store.Entry> entries = await(store.list("a/")).get();
        // then
        assertThat(entries).extracting(Store.Entry::key).containsExactly("a/1", "a/2");
    }

    @Test
    void should_report_a_change_to_a_waiting_watch() {
        // given
        long revision = await(store.get("a/1")).get().revision();
        Future<Either<Failure, Store.Changes>> watch = store.watch("a/", revision, 60_000);
        // when
        await(store.put("b/1", bytes("x"), Store.ABSENT));
        await(store.put("a/1", bytes("y"), Store.ABSENT));
        // then
        Store.Changes changes = await(watch).get();
        assertThat(changes.entries()).extracting(Store.Entry::key).containsExactly("a/1");
        assertThat(changes.revision()).isEqualTo(2);
    }

    @Test
    void should_advance_the_revision_of_a_quiet_watch() {
        // given
        await(store.put("b/1", bytes("x"), Store.ABSENT));
        // when
        Store.Changes changes = await(store.watch("a/", 0, 1)).get();
        // then
        assertThat(changes.entries()).isEmpty();
        assertThat(changes.revision()).isEqualTo(1);
    }

    @Test
    void should_not_claim_that_a_write_with_a_lost_answer_did_not_run() {
        // given
        process.post(server, "/admin/faults", "{\"lostAnswers\": 1.0, \"seed\": 7}");
        // when
        Either<Failure, Long> lost = await(store.put("a", bytes("1"), Store.ABSENT));
        process.post(server, "/admin/faults", "{}");
        // then
        assertThat(lost.getLeft().notRun()).isFalse();
        assertThat(await(store.get("a")).get().version()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({"refuse, true", "close, false", "hang, false"})
    void should_tell_not_run_only_when_certain_in_an_outage(String out, boolean notRun) {
        // given
        Store impatient = new HttpStore(process.vertx, "127.0.0.1", server.port(), 300);
        process.post(server, "/admin/faults", "{\"out\": \"" + out + "\"}");
        // when
        Either<Failure, Long> written = await(impatient.put("a", bytes("1"), Store.ABSENT));
        // then
        assertThat(written.getLeft().notRun()).isEqualTo(notRun);
    }

    @Test
    void should_break_waiting_watches_when_the_outage_begins() {
        // given
        Future<Either<Failure, Store.Changes>> watch = store.watch("a/", 0, 60_000);
        await(store.get("a"));
        // when
        process.post(server, "/admin/faults", "{\"out\": \"refuse\"}");
        // then
        assertThat(await(watch).getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
    }

    @Test
    void should_count_calls_by_kind() {
        // given
        await(store.put("a", bytes("1"), Store.ABSENT));
        await(store.get("a"));
        await(store.get("a"));
        // when
        String counters = process.get(server, "/admin/counters");
        // then
        assertThat(counters).contains("\"get\":2", "\"put\":1");
    }

    @Test
    void should_report_an_unreachable_store_as_not_run() {
        // given a port on which nothing listens any more
        int port = server.port();
        process.stop(server);
        // when
        Either<Failure, Long> written =
                await(new HttpStore(process.vertx, "127.0.0.1", port, TIMEOUT_MS).put("a", bytes("1"), Store.ABSENT));
        // then
        assertThat(written.getLeft().notRun()).isTrue();
        assertThat(written.getLeft().code()).isEqualTo(ErrorCode.STORE_UNAVAILABLE);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
