package io.radishspindle.entryd;

import io.radishspindle.error.Failure;
import io.radishspindle.settings.EntrySettings;
import io.radishspindle.settings.EntrySettingsLoader;
import io.vavr.control.Either;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.tinylog.Logger;

/**
 * The entry daemon. Holds no state of its own; exits with status 0 after a graceful shutdown, 1 if it can't start,
 * and 2 for wrong arguments or settings.
 */
public final class EntryDaemon {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    /** One event loop owns all state; small VMs have few cores. */
    private static final int EVENT_LOOPS = 1;

    private EntryDaemon() {}

    /** Starts the daemon and returns; a shutdown hook stops it on SIGTERM. */
    public static void main(String[] args) {
        ArgumentParser parser = createParser();
        Namespace options;
        try {
            options = parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(e.getClass() == ArgumentParserException.class ? EXIT_USAGE : 0);
            return;
        }
        Either<Failure, EntrySettings> settings = EntrySettingsLoader.load(Path.of(options.getString("settings")));
        if (settings.isLeft()) {
            System.err.println(settings.getLeft().message());
            System.exit(EXIT_USAGE);
            return;
        }
        if (options.getBoolean("check")) {
            System.out.println("settings are valid");
            return;
        }
        run(settings.get());
    }

    private static ArgumentParser createParser() {
        String version = EntryDaemon.class.getPackage().getImplementationVersion();
        ArgumentParser parser = ArgumentParsers.newFor("radishspindle-entry")
                .build()
                .defaultHelp(true)
                .description("Entry daemon of the radishspindle cluster scheduler.")
                .version("${prog} " + (version == null ? "development" : version));
        parser.addArgument("--settings").required(true).metavar("FILE").help("settings of this VM (INI)");
        parser.addArgument("--check").action(Arguments.storeTrue()).help("check the settings and exit");
        parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
        return parser;
    }

    private static void run(EntrySettings settings) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(vertx, settings), "shutdown"));
        vertx.deployVerticle(new EntryVerticle(settings)).onFailure(e -> {
            Logger.error(
                    e, "event=start-failed vm={} error=\"{}\"", settings.vm().id(), e.getMessage());
            Runtime.getRuntime().halt(EXIT_FAILED);
        });
    }

    /** Undeploying stops the entry VM gracefully; the deadline covers one that can't finish. */
    private static void shutDown(Vertx vertx, EntrySettings settings) {
        long marginMs = TimeUnit.SECONDS.toMillis(5);
        try {
            vertx.close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(settings.routing().drainMs() + marginMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException e) {
            Logger.error(
                    "event=shutdown-incomplete vm={} error=\"{}\"",
                    settings.vm().id(),
                    e.toString());
        }
    }
}
