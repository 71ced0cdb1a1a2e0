package io.radishspindle.settings;

import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.radishspindle.settings.ValueParser.Address;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Reads the settings of an entry VM from an INI file. Stateless and thread-safe. */
public final class EntrySettingsLoader {
    private static final String STEP = "settings.load";

    private EntrySettingsLoader() {}

    /** Loads and checks a file. A failure names the file, the section and the key in one line. */
    public static Either<Failure, EntrySettings> load(Path file) {
        try (Reader reader = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
            INIConfiguration ini = new INIConfiguration();
            ini.read(reader);
            EntrySettings settings = settings(new Values(values(ini)));
            SettingsRelations.check(settings);
            return Either.right(settings);
        } catch (IOException e) {
            return failure(file + ": can't be read: " + e);
        } catch (ConfigurationException e) {
            return failure(file + ": is not an INI file: " + e.getMessage());
        } catch (SettingsException e) {
            return failure(file + ": " + e.getMessage());
        }
    }

    private static Either<Failure, EntrySettings> failure(String message) {
        return Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, message));
    }

    private static Map<String, Object> values(INIConfiguration ini) {
        Map<String, String> texts = new HashMap<>();
        for (String section : ini.getSections()) {
            readSection(ini, section, texts);
        }
        Map<String, Object> values = new HashMap<>();
        for (Setting setting : SettingsSchema.SETTINGS) {
            String text = texts.getOrDefault(setting.name(), setting.defaultText());
            if (text == null) {
                throw new SettingsException(setting.name() + ": is missing");
            }
            values.put(setting.name(), parse(setting, text));
        }
        return values;
    }

    private static void readSection(INIConfiguration ini, String section, Map<String, String> texts) {
        SubnodeConfiguration keys = ini.getSection(section);
        for (String escaped : keyNames(keys)) {
            String key = escaped.replace("..", ".");
            if (section == null) {
                throw new SettingsException(key + ": stands before the first section");
            }
            if (!SettingsSchema.hasSection(section)) {
                throw new SettingsException("[" + section + "]: unknown section");
            }
            Setting setting = SettingsSchema.find(section, key)
                    .orElseThrow(() -> new SettingsException("[" + section + "] " + key + ": unknown key"));
            if (keys.getList(escaped).size() > 1) {
                throw new SettingsException(setting.name() + ": is given twice");
            }
            texts.put(
                    setting.name(), String.valueOf(keys.getString(escaped, "")).strip());
        }
    }

    private static Set<String> keyNames(SubnodeConfiguration keys) {
        Set<String> names = new TreeSet<>();
        keys.getKeys().forEachRemaining(names::add);
        return names;
    }

    private static Object parse(Setting setting, String text) {
        try {
            return ValueParser.parse(setting, text);
        } catch (SettingsException e) {
            throw new SettingsException(setting.name() + ": " + e.getMessage(), e);
        }
    }

    private static EntrySettings settings(Values v) {
        Address store = v.address("store");
        Address vmList = v.address("vm-list");
        return new EntrySettings(
                new EntrySettings.Vm(
                        v.text("vm", "id"), v.text("vm", "data-centre"), v.text("vm", "region"), v.text("vm", "host")),
                new EntrySettings.Listen(
                        v.count("listen", "callers-port"),
                        v.count("listen", "operators-port"),
                        v.count("listen", "peers-port")),
                new EntrySettings.Peers(
                        v.list("seeds", EntrySettings.Seed.class),
                        v.list("regions", String.class),
                        v.text("peers", "shared-key"),
                        v.ms("peers", "heartbeat"),
                        v.ms("peers", "remote-heartbeat"),
                        v.ms("peers", "suspect-after"),
                        v.ms("peers", "dead-after")),
                new EntrySettings.Platform(
                        store.host(),
                        store.port(),
                        vmList.host(),
                        vmList.port(),
                        v.ms("platform", "vm-list-poll"),
                        v.ms("platform", "timeout")),
                new EntrySettings.Ownership(
                        v.count("ownership", "groups-per-data-centre"),
                        v.ms("ownership", "heartbeat"),
                        v.ms("ownership", "control-lease"),
                        v.ms("ownership", "run-lease"),
                        v.ms("ownership", "margin")),
                routing(v));
    }

    private static EntrySettings.Routing routing(Values v) {
        return new EntrySettings.Routing(
                v.ms("routing", "default-deadline"),
                v.ms("routing", "max-deadline"),
                v.count("routing", "max-queued-per-service"),
                v.count("routing", "max-queued-per-caller"),
                v.count("routing", "max-body"),
                v.count("routing", "max-attempts"),
                v.ratio("routing", "retry-budget"),
                v.ms("routing", "remote-worth-it"),
                v.ms("routing", "probe"),
                v.ms("routing", "drain"));
    }

    /** Typed access to parsed values by section and key. Immutable. */
    private record Values(Map<String, Object> byName) {
        private <T> T get(String section, String key, Class<T> type) {
            return type.cast(Objects.requireNonNull(byName.get("[" + section + "] " + key)));
        }

        String text(String section, String key) {
            return get(section, key, String.class);
        }

        int count(String section, String key) {
            return get(section, key, Integer.class);
        }

        long ms(String section, String key) {
            return get(section, key, Long.class);
        }

        double ratio(String section, String key) {
            return get(section, key, Double.class);
        }

        Address address(String key) {
            return get("platform", key, Address.class);
        }

        <T> List<T> list(String key, Class<T> type) {
            return get("peers", key, List.class).stream().map(type::cast).toList();
        }
    }
}
