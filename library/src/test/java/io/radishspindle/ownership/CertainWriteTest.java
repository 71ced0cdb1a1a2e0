package io.radishspindle.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a wrong conclusion after a lost answer of the store. */
class CertainWriteTest {
    private final MemoryStore store = new MemoryStore();
    private final Effects fx = new Effects("vm", 1, new OwnershipMetrics(new MetricRegistry()));
    private final List<CertainWrite.Outcome> outcomes = new ArrayList<>();

    @Test
    void should_report_a_conflict_that_is_certain() {
        // given
        write("other", 0);

        // when
        write("own", 0);

        // then
        assertThat(outcomes).containsExactly(CertainWrite.Outcome.APPLIED, CertainWrite.Outcome.CONFLICT);
    }

    @Test
    void should_recognise_its_own_write_after_a_lost_answer() {
        // given
        store.losesAnswers = 1;

        // when
        CertainWrite write = write("own", 0);
        retry(write);

        // then
        assertThat(outcomes).containsExactly(CertainWrite.Outcome.APPLIED);
        assertThat(store.writes).isEqualTo(1);
    }

    @Test
    void should_leave_open_whether_it_applied_when_another_writer_followed_a_lost_answer() {
        // given
        store.losesAnswers = 1;
        CertainWrite write = write("own", 0);
        write("other", 1);

        // when
        retry(write);

        // then
        assertThat(outcomes)
                .containsExactly(CertainWrite.Outcome.APPLIED, CertainWrite.Outcome.CONFLICT_AFTER_LOST_ANSWER);
    }

    private CertainWrite write(String changeId, long expected) {
        byte[] value = RecordCodec.encode(new OwnershipRecord(1, "vm", List.of(), Set.of(), changeId));
        CertainWrite write = new CertainWrite(
                        fx,
                        "key",
                        value,
                        expected,
                        changeId,
                        found ->
                                RecordCodec.decode(found, OwnershipRecord.class).changeId(),
                        (outcome, version) -> outcomes.add(outcome))
                .start();
        store.serve(fx);
        return write;
    }

    private void retry(CertainWrite write) {
        fx.setNow(fx.now() + 1_000);
        write.tick();
        store.serve(fx);
    }
}
