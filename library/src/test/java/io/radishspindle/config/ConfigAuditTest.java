package io.radishspindle.config;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.config.ConfigChange.AddException;
import io.radishspindle.config.FleetException.Scope;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.model.Resources;
import io.radishspindle.placement.PlacementPolicy;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the audit trail against lost or doubled entries, and policies against exceptions that outlive their end. */
class ConfigAuditTest {
    private static final int CHANGES = 450;
    private static final long HOUR_MS = 3_600_000;

    private final ConfigFleet fleet = new ConfigFleet(Mechanisms.ALL, "a", 2, "b", 1);

    private static AddException quota(long basedOn, String team, String cores, long endsAtMs) {
        return new AddException(
                basedOn, "alice", "graduation batch", "team-quota-cores", cores, Scope.TEAM, team, endsAtMs);
    }

    private Either<Failure, FleetConfig> apply(ConfigChange change) {
        List<Either<Failure, FleetConfig>> answers = new ArrayList<>();
        fleet.change("a1", change, answers::add);
        fleet.time.runFor(12_000);
        return answers.get(0);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_keep_each_audit_entry_once_while_blocks_are_moved(boolean answersAreLost) {
        // given
        fleet.time.runFor(1_000);

        // when many changes fill several blocks
        for (int i = 0; i < CHANGES; i++) {
            if (answersAreLost && i % 7 == 0) {
                fleet.store.loseNextWriteAnswer();
            }
            fleet.change("a" + (1 + i % 2), ConfigFleet.setQueue(i, "alice", 1 + i), answer -> {});
            fleet.time.runFor(answersAreLost ? 5_000 : 100);
        }

        // then
        assertThat(fleet.store.allAudit())
                .extracting(AuditEntry::revision)
                .containsExactlyElementsOf(
                        LongStream.rangeClosed(1, CHANGES).boxed().toList());
        assertThat(fleet.store.document().audit()).hasSizeLessThan(2 * AuditBlocks.BLOCK_ENTRIES);
    }

    @Test
    void should_end_an_exception_at_its_time_without_a_change() {
        // given
        long endsAtMs = fleet.wallMs() + HOUR_MS;
        FleetConfig config = apply(quota(0, "layout", "512", endsAtMs)).get();
        int applied = fleet.vm("b1").history.size();

        // when
        PlacementPolicy before = config.policyAt(endsAtMs - 1);
        PlacementPolicy after = config.policyAt(endsAtMs);
        fleet.time.runFor(HOUR_MS);

        // then listeners are told again
        assertThat(before.quotaOf("layout")).isEqualTo(new Resources(512_000, 1_048_576, 64));
        assertThat(before.quotaOf("other")).isEqualTo(PlacementPolicy.DEFAULT.defaultQuota());
        assertThat(after).isEqualTo(PlacementPolicy.DEFAULT);
        assertThat(fleet.vm("b1").history).hasSize(applied + 1);
    }

    @Test
    void should_refuse_an_exception_that_contradicts_another() {
        // given
        apply(quota(0, "layout", "512", fleet.wallMs() + HOUR_MS));

        // when
        Failure refusal =
                apply(quota(1, "layout", "256", fleet.wallMs() + HOUR_MS)).getLeft();

        // then
        assertThat(refusal.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
        assertThat(refusal.message()).contains("exception x1 by alice concerns the same");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "   "})
    void should_refuse_a_change_without_a_reason(String reason) {
        // given, when
        Failure refusal = apply(new ConfigChange.SetDefault(0, "alice", reason, "retry-budget", "0.2"))
                .getLeft();

        // then
        assertThat(refusal.message()).contains("a reason of 1 to 500 characters is required");
        assertThat(fleet.store.document().revision()).isZero();
    }

    @Test
    void should_refuse_changes_and_keep_its_revision_when_the_store_lost_changes() {
        // given a store that comes back without its contents
        apply(ConfigFleet.setQueue(0, "alice", 101));
        apply(ConfigFleet.setQueue(1, "alice", 102));
        fleet.store.loseContents();

        // when
        Failure refusal = apply(ConfigFleet.setQueue(0, "alice", 103)).getLeft();

        // then
        assertThat(refusal.message()).contains("the store has lost changes");
        assertThat(fleet.vm("a1").revision()).isEqualTo(2);
        assertThat(fleet.store.document().revision()).isZero();
    }
}
