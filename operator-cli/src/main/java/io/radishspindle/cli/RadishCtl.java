package io.radishspindle.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Command line for operators. Holds no state between commands. */
public final class RadishCtl {
    private static final String DEFAULT_SERVER = "127.0.0.1:8081";
    private static final long MS_PER_SECOND = 1_000;

    private final PrintWriter out;
    private final PrintWriter err;

    RadishCtl(PrintWriter out, PrintWriter err) {
        this.out = out;
        this.err = err;
    }

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] args) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        ExitCode code = new RadishCtl(out, err).run(args);
        out.flush();
        err.flush();
        System.exit(code.code());
    }

    ExitCode run(String... args) {
        ArgumentParser parser = Arguments.parser();
        try {
            Namespace arguments = parser.parseArgs(args);
            if (arguments.getString(Arguments.COMMAND) == null) {
                parser.printHelp(err);
                return ExitCode.USAGE;
            }
            return repeat(arguments);
        } catch (HelpScreenException e) {
            return ExitCode.OK;
        } catch (ArgumentParserException e) {
            parser.handleError(e, err);
            return ExitCode.USAGE;
        }
    }

    private ExitCode repeat(Namespace arguments) {
        Integer seconds = arguments.getInt("watch");
        if (seconds == null) {
            return runOnce(arguments);
        }
        if (seconds < 1) {
            err.println("radishctl: --watch: must be at least 1 second");
            return ExitCode.USAGE;
        }
        while (true) {
            out.println("--- " + Instant.now());
            ExitCode code = runOnce(arguments);
            out.flush();
            if (code == ExitCode.USAGE) {
                return code;
            }
            try {
                Thread.sleep(seconds * MS_PER_SECOND);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return code;
            }
        }
    }

    private ExitCode runOnce(Namespace arguments) {
        String actor = Objects.requireNonNullElseGet(arguments.getString("actor"), Commands::defaultActor);
        OperatorClient client = new OperatorClient(servers(arguments), actor);
        try {
            Commands.Output output = new Commands(client, arguments, actor).run();
            out.print(output.text());
            output.notes().forEach(note -> err.println("radishctl: " + note));
            boolean incomplete = !output.notes().isEmpty() && arguments.getBoolean("strict");
            return incomplete ? ExitCode.INCOMPLETE : ExitCode.OK;
        } catch (CommandException e) {
            err.println("radishctl: " + e.getMessage());
            return e.exitCode();
        }
    }

    private static List<String> servers(Namespace arguments) {
        String fallback = Objects.requireNonNullElse(System.getenv("RADISHCTL_SERVER"), DEFAULT_SERVER);
        String servers = Objects.requireNonNullElse(arguments.getString("server"), fallback);
        return Arrays.stream(servers.split(",", -1)).map(String::strip).toList();
    }
}
