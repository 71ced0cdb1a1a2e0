package io.radishspindle.settings;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against settings that are silently ignored, misread or contradictory. */
class EntrySettingsLoaderTest {
    private static final String VALID =
            """
            [vm]
            id = sel-a-1
            data-centre = sel-a
            region = seoul
            host = 10.0.0.1
            [peers]
            seeds = sel-a-2@sel-a=10.0.0.2:8082, pus-a-1@pus-a=10.0.2.1:8082
            regions = sel-a:seoul, pus-a:busan
            shared-key = 0123456789abcdef
            [platform]
            store = 10.0.9.1:7000
            vm-list = 10.0.9.2:7001
            [ownership]
            run-lease = 7s
            """;

    @TempDir
    Path directory;

    private Either<Failure, EntrySettings> load(String text) throws IOException {
        return EntrySettingsLoader.load(Files.writeString(directory.resolve("entry.ini"), text));
    }

    @Test
    void should_load_given_values_and_defaults() throws IOException {
        // given a file with all required keys, when
        EntrySettings settings = load(VALID).get();

        // then
        assertThat(settings.vm()).isEqualTo(new EntrySettings.Vm("sel-a-1", "sel-a", "seoul", "10.0.0.1"));
        assertThat(settings.peers().seeds())
                .containsExactly(
                        new EntrySettings.Seed("sel-a-2", "sel-a", "10.0.0.2", 8082),
                        new EntrySettings.Seed("pus-a-1", "pus-a", "10.0.2.1", 8082));
        assertThat(settings.ownership()).isEqualTo(new EntrySettings.Ownership(2, 1000, 3000, 7000, 1000));
        assertThat(settings.peers().heartbeatMs()).isEqualTo(250);
        assertThat(settings.routing().maxBodyBytes()).isEqualTo(512 * 1024);
        assertThat(settings.routing().retryBudget()).isEqualTo(0.1);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
                    run-lease = 7s | run-lease = 7 | [ownership] run-lease: '7' needs a whole number
                    run-lease = 7s | run-lease = 7 parsecs | [ownership] run-lease: '7 parsecs' needs a whole number
                    run-lease = 7s | run-lease = 2s | [ownership] run-lease: must be longer than control-lease
                    run-lease = 7s | run-lease = 9h | [ownership] run-lease: '9h' is out of range; 60ms to 600s
                    run-lease = 7s | runlease = 7s | [ownership] runlease: unknown key
                    run-lease = 7s | margin = 99999999999999999999s | [ownership] margin: '99999999999999999999'
                    run-lease = 7s | groups-per-data-centre = x | [ownership] groups-per-data-centre: 'x' is not
                    [ownership] | [ownreship] | [ownreship]: unknown section
                    region = seoul | region = incheon | [peers] regions: 'sel-a:seoul' differs from [vm] region
                    store = 10.0.9.1:7000 | store = 10.0.9.1 | [platform] store: '10.0.9.1' is not host:port
                    store = 10.0.9.1:7000 | store = 10.0.9.1:70000 | [platform] store: port 70000 is out of range
                    id = sel-a-1 | id = sel-a-1 & id = x | [vm] id: is given twice
                    id = sel-a-1 | name = sel-a-1 | [vm] name: unknown key
                    host = 10.0.0.1 | '' | [vm] host: is missing
                    0123456789abcdef | short | [peers] shared-key: has 5 characters
                    sel-a-2@sel-a= | sel-a-2= | [peers] seeds: 'sel-a-2=10.0.0.2:8082' is not
                    pus-a-1@pus-a= | pus-a-1@icn= | [peers] regions: has no region for data centre 'icn'
                    """)
    void should_name_file_section_and_key_of_a_fault(String correct, String wrong, String message) throws IOException {
        // given
        String text = VALID.replace(correct, wrong.replace(" & ", "\n"));

        // when
        Failure failure = load(text).getLeft();

        // then
        assertThat(failure.message()).contains("entry.ini: " + message).doesNotContain("\n");
    }

    @Test
    void should_say_that_a_file_is_missing() {
        // when
        Failure failure =
                EntrySettingsLoader.load(directory.resolve("absent.ini")).getLeft();

        // then
        assertThat(failure.message()).contains("absent.ini: can't be read");
    }
}
