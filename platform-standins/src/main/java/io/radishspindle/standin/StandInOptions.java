package io.radishspindle.standin;

import io.radishspindle.model.Resources;
import io.radishspindle.standin.StandInServer.Address;
import java.nio.file.Path;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.jspecify.annotations.Nullable;

/** Command-line options of the stand-ins and the servers that they describe. Stateless. */
final class StandInOptions {
    private StandInOptions() {}

    static void addStore(Subparsers commands) {
        Subparser parser = commands.addParser("store").help("key-value service with compare-and-swap");
        addAddress(parser, "store");
        number(parser, "--latency-ms", 0).help("latency of each call");
    }

    static void addVmList(Subparsers commands) {
        Subparser parser = commands.addParser("vm-list").help("lagging list of VMs");
        addAddress(parser, "vm-list");
        number(parser, "--lag-ms", 0).help("age of what the list shows");
        parser.addArgument("--vms").required(true).help("INI or JSON file with the VMs at start");
    }

    static void addWorker(Subparsers commands) {
        Subparser parser = commands.addParser("worker").help("runs tasks under leases");
        addAddress(parser, "worker");
        addInstances(parser);
        number(parser, "--milli-cores", 16_000).help("processor time in thousandths of a core");
        number(parser, "--memory-mib", 32_768).help("memory in mebibytes");
        number(parser, "--accelerators", 0).help("whole accelerators");
        number(parser, "--usage-lag-ms", 2_000).help("time between samples of usage");
        number(parser, "--checkpoint-ms", 100).help("how long a checkpoint takes");
        number(parser, "--quiet-ms", 4_000).help("how long messages are refused after the start");
        parser.addArgument("--fail-all").action(Arguments.storeTrue()).help("every task fails soon after its start");
    }

    static void addEndpoint(Subparsers commands) {
        Subparser parser = commands.addParser("endpoint").help("HTTP executor with slots");
        addAddress(parser, "endpoint");
        addInstances(parser);
        number(parser, "--slots", 8).help("requests that run at once");
        number(parser, "--connections", 64).help("connections that are accepted");
        number(parser, "--service-ms", 5).help("how long a request runs without the header Service-Time-Ms");
        number(parser, "--leave-ms", 3_000).help("how long requests are still taken after SIGTERM");
        number(parser, "--drain-ms", 30_000).help("how long the end waits for requests in flight");
    }

    /** Creates the server with the given index, from 0. */
    static StandInServer create(Namespace options, int index, int instances) {
        String command = options.getString("command");
        Address address = address(options, command, index, instances);
        return switch (command) {
            case "store" -> new StoreServer(address, options.getLong("latency_ms"));
            case "vm-list" ->
                new VmListServer(
                        address, VmListFile.read(Path.of(options.getString("vms"))), options.getLong("lag_ms"));
            case "worker" -> worker(options, address);
            case "endpoint" -> endpoint(options, address);
            default -> throw new IllegalArgumentException("unknown command " + command);
        };
    }

    private static WorkerServer worker(Namespace options, Address address) {
        Resources capacity = new Resources(
                options.getLong("milli_cores"),
                options.getLong("memory_mib"),
                Math.toIntExact(options.getLong("accelerators")));
        WorkerCore.Options behaviour = new WorkerCore.Options(
                capacity,
                options.getLong("usage_lag_ms"),
                options.getLong("checkpoint_ms"),
                options.getLong("quiet_ms"));
        History<WorkerEvent> history = History.in(historyDirectory(options), address.id());
        return new WorkerServer(address, behaviour, options.getBoolean("fail_all"), history);
    }

    private static EndpointServer endpoint(Namespace options, Address address) {
        EndpointServer.Options behaviour = new EndpointServer.Options(
                Math.toIntExact(options.getLong("slots")),
                Math.toIntExact(options.getLong("connections")),
                options.getLong("service_ms"),
                options.getLong("leave_ms"),
                options.getLong("drain_ms"));
        return new EndpointServer(address, behaviour, History.in(historyDirectory(options), address.id()));
    }

    private static Address address(Namespace options, String kind, int index, int instances) {
        int port = options.getInt("port");
        String id = options.getString("id");
        String ownId = instances == 1 ? id : id + "-" + (index + 1);
        return new Address(kind, ownId, options.getString("host"), port == 0 ? 0 : port + index);
    }

    private static @Nullable Path historyDirectory(Namespace options) {
        String directory = options.getString("history_dir");
        return directory == null ? null : Path.of(directory);
    }

    private static void addAddress(Subparser parser, String id) {
        parser.addArgument("--id").setDefault(id).help("name of the instance");
        parser.addArgument("--host").setDefault("127.0.0.1").help("IP number to listen on");
        parser.addArgument("--port")
                .metavar("N")
                .type(Integer.class)
                .setDefault(0)
                .help("TCP port; 0 means any free one");
    }

    private static void addInstances(Subparser parser) {
        parser.addArgument("--instances")
                .type(Integer.class)
                .choices(Arguments.range(1, 1_000))
                .setDefault(1)
                .help("how many to run in this process; ids get the suffixes -1, -2, ..., ports follow each other");
        parser.addArgument("--history-dir").help("directory for the record ID.jsonl of each instance");
    }

    private static Argument number(Subparser parser, String name, long value) {
        return parser.addArgument(name)
                .type(Long.class)
                .choices(Arguments.range(0L, Long.MAX_VALUE))
                .setDefault(value)
                .metavar("N");
    }
}
