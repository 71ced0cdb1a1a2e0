package io.radishspindle.pool.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against configurations that change on their way, and against replies that fill the memory of a VM. */
class CompressedConfigTest {
    @ParameterizedTest
    @ValueSource(ints = {1, 1_000, 1_048_576, CompressedConfig.MAX_BYTES})
    void should_restore_a_value(int bytes) {
        byte[] value = new byte[bytes];
        new Random(bytes).nextBytes(value);

        assertThat(CompressedConfig.inflate(CompressedConfig.compress(value))).hasValue(value);
    }

    @Test
    void should_reject_a_value_beyond_the_bound() {
        byte[] compressed = CompressedConfig.compress(new byte[CompressedConfig.MAX_BYTES + 1]);

        assertThat(compressed).hasSizeLessThan(20_000);
        assertThat(CompressedConfig.inflate(compressed)).isEmpty();
    }

    @Test
    void should_reject_what_is_not_one_whole_compressed_value() {
        byte[] compressed = CompressedConfig.compress(new byte[] {1, 2, 3});

        assertThat(CompressedConfig.inflate(Arrays.copyOf(compressed, compressed.length - 1)))
                .isEmpty();
        assertThat(CompressedConfig.inflate(Arrays.copyOf(compressed, compressed.length + 1)))
                .isEmpty();
        assertThat(CompressedConfig.inflate(new byte[] {1, 2, 3})).isEmpty();
    }
}
