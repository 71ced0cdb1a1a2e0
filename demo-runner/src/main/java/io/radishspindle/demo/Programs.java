package io.radishspindle.demo;

import java.nio.file.Files;
import java.nio.file.Path;

/** Program jars of a build. Immutable and thread-safe. */
public record Programs(Path entryDaemon, Path standIns) {
    private static final String VERSION = "0.1.0-SNAPSHOT";

    /** Finds the jars under the root of the source tree. */
    public static Programs under(Path root) {
        return new Programs(
                jar(root, "entry-daemon", "radishspindle-entry-daemon"),
                jar(root, "platform-standins", "radishspindle-platform-standins"));
    }

    private static Path jar(Path root, String module, String artifact) {
        Path jar = root.resolve(module).resolve("target").resolve(artifact + "-" + VERSION + "-program.jar");
        if (!Files.isRegularFile(jar)) {
            throw new IllegalArgumentException("no program " + jar + "; build with: mvn package");
        }
        return jar;
    }
}
