package io.radishspindle.demo;

import io.radishspindle.platform.VmList.Vm;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/** Writes the INI files of entry daemons and of the VM list. Stateless. */
final class SettingsFiles {
    /** Key with which the peers of a cluster on loopback authenticate; it protects nothing. */
    private static final String SHARED_KEY = "loopback-demonstration-key-0123456789";

    /** Ports of the platform that all entry daemons use. */
    record PlatformPorts(int store, int vmList) {}

    private SettingsFiles() {}

    static Path writeEntryVm(Path directory, EntryVm vm, List<EntryVm> all, PlatformPorts platform) {
        INIConfiguration ini = new INIConfiguration();
        SubnodeConfiguration own = ini.getSection("vm");
        own.setProperty("id", vm.id());
        own.setProperty("data-centre", vm.dataCentre());
        own.setProperty("region", vm.region());
        own.setProperty("host", EntryVm.HOST);
        SubnodeConfiguration listen = ini.getSection("listen");
        listen.setProperty("callers-port", vm.callersPort());
        listen.setProperty("operators-port", vm.operatorsPort());
        listen.setProperty("peers-port", vm.peersPort());
        SubnodeConfiguration peers = ini.getSection("peers");
        peers.setProperty("seeds", seeds(vm, all));
        peers.setProperty("regions", regions(all));
        peers.setProperty("shared-key", SHARED_KEY);
        SubnodeConfiguration places = ini.getSection("platform");
        places.setProperty("store", EntryVm.HOST + ":" + platform.store());
        places.setProperty("vm-list", EntryVm.HOST + ":" + platform.vmList());
        return write(ini, directory.resolve(vm.id() + ".ini"));
    }

    static Path writeVmList(Path directory, List<Vm> vms) {
        INIConfiguration ini = new INIConfiguration();
        for (Vm vm : vms) {
            SubnodeConfiguration section = ini.getSection(vm.id());
            section.setProperty("kind", vm.kind().name().toLowerCase(Locale.ROOT));
            section.setProperty("data-centre", vm.dataCentre());
            section.setProperty("rack", vm.rack());
            section.setProperty("host", vm.host());
            section.setProperty("port", vm.port());
            section.setProperty("service", vm.service());
            section.setProperty("slots", vm.slots());
            section.setProperty("connections", vm.connections());
            section.setProperty("milli-cores", vm.capacity().milliCores());
            section.setProperty("memory-mib", vm.capacity().memoryMib());
            section.setProperty("accelerators", vm.capacity().accelerators());
        }
        return write(ini, directory.resolve("vms.ini"));
    }

    private static String seeds(EntryVm vm, List<EntryVm> all) {
        return all.stream()
                .filter(other -> !other.id().equals(vm.id()))
                .map(EntryVm::seed)
                .collect(Collectors.joining(","));
    }

    private static String regions(List<EntryVm> all) {
        return all.stream()
                .map(vm -> vm.dataCentre() + ":" + vm.region())
                .distinct()
                .collect(Collectors.joining(","));
    }

    private static Path write(INIConfiguration ini, Path file) {
        try (Writer writer = Files.newBufferedWriter(file)) {
            ini.write(writer);
            return file;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (ConfigurationException e) {
            throw new IllegalStateException("cannot write " + file, e);
        }
    }
}
