package io.radishspindle.standin;

import io.radishspindle.model.Resources;
import io.radishspindle.platform.VmList.Kind;
import io.radishspindle.platform.VmList.State;
import io.radishspindle.platform.VmList.Vm;
import io.radishspindle.platform.http.Wire;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.apache.commons.configuration2.Configuration;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.ex.ConversionException;

/**
 * Reads the first list of VMs from an INI file with a section for each VM, named by its id, or from a JSON file with
 * {@code {"vms": [...]}}. Stateless.
 */
final class VmListFile {
    private record VmsFile(List<Vm> vms) {}

    private VmListFile() {}

    static List<Vm> read(Path file) {
        try {
            return file.toString().endsWith(".json") ? readJson(file) : readIni(file);
        } catch (IOException | ConfigurationException | ConversionException e) {
            throw new IllegalArgumentException("cannot read " + file + ": " + e, e);
        }
    }

    private static List<Vm> readJson(Path file) throws IOException {
        Buffer text = Buffer.buffer(Files.readAllBytes(file));
        return Wire.fromJson(text, VmsFile.class, "vm-list.read", file.toString())
                .getOrElseThrow(failure -> new IllegalArgumentException(file + ": " + failure.message()))
                .vms();
    }

    private static List<Vm> readIni(Path file) throws IOException, ConfigurationException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file)) {
            ini.read(reader);
        }
        List<Vm> vms = new ArrayList<>();
        for (String id : ini.getSections()) {
            if (id != null) {
                vms.add(toVm(id, ini.getSection(id)));
            }
        }
        return vms;
    }

    private static Vm toVm(String id, Configuration section) {
        Resources capacity = new Resources(
                section.getLong("milli-cores", 0), section.getLong("memory-mib", 0), section.getInt("accelerators", 0));
        return new Vm(
                id,
                Kind.valueOf(required(id, section, "kind").toUpperCase(Locale.ROOT)),
                required(id, section, "data-centre"),
                section.getString("rack", ""),
                section.getString("host", "127.0.0.1"),
                Integer.parseInt(required(id, section, "port")),
                State.valueOf(section.getString("state", "live").toUpperCase(Locale.ROOT)),
                section.getString("service", ""),
                section.getInt("slots", 0),
                section.getInt("connections", 0),
                capacity);
    }

    private static String required(String id, Configuration section, String key) {
        String value = section.getString(key);
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException("section [" + id + "]: " + key + " is missing");
        }
        return value;
    }
}
