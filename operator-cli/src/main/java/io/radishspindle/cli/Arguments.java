package io.radishspindle.cli;

import static net.sourceforge.argparse4j.impl.Arguments.storeTrue;

import java.util.Arrays;
import java.util.stream.Collectors;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Defines the command line. Stateless and thread-safe. */
final class Arguments {
    static final String COMMAND = "command";
    private static final int WIDTH = 100;
    static final String EXAMPLES =
            """
            examples:
              radishctl vms
              radishctl --server 10.0.0.1:8081,10.0.0.2:8081 config status
              radishctl defaults set max-queued-tasks 30000 --reason "autumn season"
              radishctl exceptions add team-quota-cores 512 --for team:layout \\
                  --until 2026-12-24T18:00:00Z --reason "graduation batch"
              radishctl exceptions end x42 --reason "batch is done"
              radishctl audit --by alice --since 2026-12-01T00:00:00Z --json
              radishctl jobs explain j-123
              radishctl groups --watch 2

            exit codes:
            """;

    private Arguments() {}

    static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("radishctl")
                .terminalWidthDetection(false)
                .defaultFormatWidth(WIDTH)
                .build()
                .description("Shows the fleet, its configuration and its audit entries, and changes the configuration.")
                .epilog(EXAMPLES + exitCodes());
        parser.addArgument("--server")
                .metavar("HOST:PORT,...")
                .help("operators' listeners, tried in this order (default: RADISHCTL_SERVER or 127.0.0.1:8081)");
        parser.addArgument("--actor").help("who asks for a change (default: the name of the user)");
        Subparsers commands =
                parser.addSubparsers().title("commands").metavar("COMMAND").dest("group");
        addDefaults(commands);
        addExceptions(commands);
        addConfig(commands);
        addAudit(commands);
        addJobs(commands);
        for (Listing listing : Listing.values()) {
            leaf(commands, listing.command(), listing.command(), listing.help());
        }
        return parser;
    }

    private static String exitCodes() {
        return Arrays.stream(ExitCode.values())
                .map(code -> "  " + code.code() + "  " + code.meaning())
                .collect(Collectors.joining("\n"));
    }

    private static Subparsers branch(Subparsers commands, String name, String help) {
        return commands.addParser(name)
                .help(help)
                .addSubparsers()
                .metavar("ACTION")
                .dest("action");
    }

    private static Subparser leaf(Subparsers commands, String name, String command, String help) {
        Subparser parser = commands.addParser(name).help(help).description(help).setDefault(COMMAND, command);
        parser.addArgument("--json").action(storeTrue()).help("print JSON instead of a table");
        parser.addArgument("--strict").action(storeTrue()).help("exit with code 6 if the answer is incomplete");
        parser.addArgument("--watch")
                .type(Integer.class)
                .nargs("?")
                .setConst(2)
                .metavar("SECONDS")
                .help("repeat until interrupted");
        return parser;
    }

    private static void addChange(Subparser parser) {
        parser.addArgument("--reason").required(true).help("why; readers of the audit entries see it");
        parser.addArgument("--based-on")
                .type(Long.class)
                .metavar("REVISION")
                .help("refuse the change if another one came after this revision (default: the newest revision)");
    }

    private static void addDefaults(Subparsers commands) {
        Subparsers actions = branch(commands, "defaults", "values for the whole fleet");
        leaf(actions, "list", "defaults list", "list all defaults with their limits");
        Subparser set = leaf(actions, "set", "defaults set", "set a default");
        set.addArgument("key");
        set.addArgument("value");
        addChange(set);
    }

    private static void addExceptions(Subparsers commands) {
        Subparsers actions = branch(commands, "exceptions", "values for one team, service, worker or data centre");
        leaf(actions, "list", "exceptions list", "list all exceptions");
        Subparser add = leaf(actions, "add", "exceptions add", "add an exception");
        add.addArgument("key");
        add.addArgument("value");
        add.addArgument("--for")
                .required(true)
                .dest("target")
                .metavar("SCOPE:NAME")
                .help("scope is team, service, worker or data-centre");
        add.addArgument("--until").required(true).metavar("TIME").help("end, for example 2026-12-24T18:00:00Z");
        addChange(add);
        Subparser end = leaf(actions, "end", "exceptions end", "end an exception before its time");
        end.addArgument("id");
        addChange(end);
    }

    private static void addConfig(Subparsers commands) {
        Subparsers actions = branch(commands, "config", "revisions of the configuration");
        leaf(actions, "status", "config status", "show the revision in force at each VM");
        leaf(actions, "history", "config history", "list the newest changes");
    }

    private static void addAudit(Subparsers commands) {
        Subparser audit = leaf(commands, "audit", "audit", "list accepted changes, newest first; JSON is one per line");
        audit.addArgument("--by").metavar("ACTOR").help("only changes of this actor");
        audit.addArgument("--text").help("only changes whose action or reason contains this text");
        audit.addArgument("--since").metavar("TIME").help("not older than this time");
        audit.addArgument("--until").metavar("TIME").help("not newer than this time");
        audit.addArgument("--limit").type(Integer.class).setDefault(100).help("at most this many (default: 100)");
    }

    private static void addJobs(Subparsers commands) {
        Subparsers actions = branch(commands, "jobs", "explain or cancel single jobs");
        Subparser list = leaf(actions, "list", "jobs list", "list jobs");
        list.addArgument("--limit").type(Integer.class).setDefault(100).help("at most this many (default: 100)");
        leaf(actions, "show", "jobs show", "show the state of a job").addArgument("id");
        leaf(actions, "explain", "jobs explain", "say why a job waits, or how it ended")
                .addArgument("id");
        leaf(actions, "cancel", "jobs cancel", "cancel a job").addArgument("id");
    }
}
