package io.radishspindle.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the settings reference and the sample settings against drifting from the schema. */
class SettingsPagesTest {
    private static final Path ROOT = Path.of("..");
    private static final String BEGIN = "<!-- settings:begin -->\n";
    private static final String END = "<!-- settings:end -->";

    @Test
    void should_list_all_settings_in_the_operating_page() throws IOException {
        // given
        String page = Files.readString(ROOT.resolve("docs/OPERATING.md"));

        // when
        String reference = page.substring(page.indexOf(BEGIN) + BEGIN.length(), page.indexOf(END));

        // then
        assertThat(reference).isEqualTo(SettingsReference.markdown());
    }

    @ParameterizedTest
    @ValueSource(strings = {"hanji", "meldewerk"})
    void should_load_the_sample_settings(String user) throws IOException {
        // given
        List<Path> files;
        try (Stream<Path> found = Files.list(ROOT.resolve("examples").resolve(user))) {
            files = found.filter(file -> file.toString().endsWith(".ini")).toList();
        }

        // when, then
        assertThat(files).hasSize(3);
        for (Path file : files) {
            EntrySettings settings =
                    EntrySettingsLoader.load(file).getOrElseThrow(f -> new AssertionError(f.message()));
            assertThat(file.getFileName().toString()).isEqualTo(settings.vm().id() + ".ini");
            assertThat(settings.peers().regions()).hasSize(3);
        }
    }
}
