package io.radishspindle.entry.job;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.ErrorCode;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against jobs that are accepted although their body is wrong, and against errors that don't name the field. */
class JobRequestTest {
    private static final String VALID =
            "{\"team\":\"t\",\"jobClass\":\"BATCH\",\"tasks\":2,\"perTask\":{\"milliCores\":100,\"memoryMib\":64,"
                    + "\"accelerators\":0},\"expectedRunMs\":5,\"maxAttempts\":2,\"parameters\":{\"a\":\"b\"}}";

    @Test
    void should_apply_defaults_to_absent_fields() {
        // given
        String body = "{\"team\":\"t\",\"jobClass\":\"URGENT\",\"perTask\":{\"milliCores\":1,\"memoryMib\":1}}";

        // when
        var spec = JobRequest.parse(Buffer.buffer(body)).get().toSpec("dc.g0.x");

        // then
        assertThat(spec.tasks()).isEqualTo(1);
        assertThat(spec.family()).isEqualTo("t");
        assertThat(spec.maxAttempts()).isEqualTo(3);
        assertThat(spec.parameters()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"team\":\"t\" | \"team\":\"\" | team",
                "\"jobClass\":\"BATCH\" | \"jobClass\":null | jobClass",
                "\"jobClass\":\"BATCH\" | \"jobClass\":\"CRON\" | CRON",
                "\"tasks\":2 | \"tasks\":0 | tasks",
                "\"tasks\":2 | \"tasks\":10001 | tasks",
                "\"milliCores\":100 | \"milliCores\":0 | perTask",
                "\"milliCores\":100 | \"milliCores\":-5 | perTask",
                "\"expectedRunMs\":5 | \"expectedRunMs\":0 | expectedRunMs",
                "\"maxAttempts\":2 | \"maxAttempts\":101 | maxAttempts",
                "\"a\":\"b\" | \"a\":null | parameters",
                "\"tasks\":2 | \"replicas\":2 | replicas",
                "{ | [ | body",
            })
    void should_name_the_wrong_field(String valid, String wrong, String named) {
        // given
        String body = VALID.replace(valid, wrong);

        // when
        var failure = JobRequest.parse(Buffer.buffer(body)).getLeft();

        // then
        assertThat(failure.code()).isEqualTo(ErrorCode.INVALID_REQUEST);
        assertThat(failure.notRun()).isTrue();
        assertThat(failure.message()).contains(named);
    }
}
