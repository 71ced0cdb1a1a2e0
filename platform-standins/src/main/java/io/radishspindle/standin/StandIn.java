package io.radishspindle.standin;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Program with a subcommand for each part of the platform. Holds no state.
 *
 * <p>For each server it prints {@code listening kind=... id=... host=... port=...} on standard output as soon as
 * the server accepts connections.
 */
public final class StandIn {
    /** Stand-ins do little work; more threads would only use memory. */
    private static final int EVENT_LOOPS = 2;

    private StandIn() {}

    /** Starts the program. */
    public static void main(String[] args) {
        ArgumentParser parser = parser();
        try {
            start(parser.parseArgs(args));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
        } catch (IllegalArgumentException e) {
            System.err.println("error: " + e.getMessage());
            System.exit(2);
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("standin")
                .build()
                .description("Stand-ins for the platform on which radishspindle runs.");
        Subparsers commands = parser.addSubparsers().dest("command");
        StandInOptions.addStore(commands);
        StandInOptions.addVmList(commands);
        StandInOptions.addWorker(commands);
        StandInOptions.addEndpoint(commands);
        return parser;
    }

    private static void start(Namespace options) {
        List<StandInServer> servers = servers(options);
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(servers)));
        for (StandInServer server : servers) {
            vertx.deployVerticle(server).onComplete(deployed -> {
                if (deployed.failed()) {
                    System.err.println("error: " + server.describe() + ": "
                            + deployed.cause().getMessage());
                    Runtime.getRuntime().halt(1);
                }
                System.out.println("listening " + server.describe());
            });
        }
    }

    private static void stop(List<StandInServer> servers) {
        servers.forEach(StandInServer::beginLeaving);
        servers.forEach(StandInServer::awaitDrained);
    }

    private static List<StandInServer> servers(Namespace options) {
        List<StandInServer> servers = new ArrayList<>();
        int instances = options.getInt("instances") == null ? 1 : options.getInt("instances");
        for (int i = 0; i < instances; i++) {
            servers.add(StandInOptions.create(options, i, instances));
        }
        return servers;
    }
}
