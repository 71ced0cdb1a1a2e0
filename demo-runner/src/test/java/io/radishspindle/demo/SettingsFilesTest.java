package io.radishspindle.demo;

import static org.assertj.core.api.Assertions.assertThat;

import io.radishspindle.settings.EntrySettings;
import io.radishspindle.settings.EntrySettingsLoader;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the written settings against being refused by the entry daemon. */
class SettingsFilesTest {
    @TempDir
    private Path directory;

    @Test
    void should_write_settings_that_the_entry_daemon_loads() {
        // given
        EntryVm own = new EntryVm("seoul-vm-1", "seoul", "capital", 1001, 1002, 1003);
        EntryVm near = new EntryVm("seoul-vm-2", "seoul", "capital", 2001, 2002, 2003);
        EntryVm far = new EntryVm("busan-vm-1", "busan", "south", 3001, 3002, 3003);
        // when
        Path file = SettingsFiles.writeEntryVm(
                directory, own, List.of(own, near, far), new SettingsFiles.PlatformPorts(4001, 4002));
        // then
        EntrySettings settings =
                EntrySettingsLoader.load(file).getOrElseThrow(failure -> new AssertionError(failure.message()));
        assertThat(settings.vm()).isEqualTo(new EntrySettings.Vm("seoul-vm-1", "seoul", "capital", "127.0.0.1"));
        assertThat(settings.peers().seeds())
                .extracting(EntrySettings.Seed::port)
                .containsExactly(2003, 3003);
        assertThat(settings.peers().regions()).containsExactly("seoul:capital", "busan:south");
        assertThat(settings.platform().vmListPort()).isEqualTo(4002);
    }
}
