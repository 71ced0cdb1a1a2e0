package io.radishspindle.config;

import io.radishspindle.platform.Store;
import io.radishspindle.protocol.message.ConfigDocument;
import java.util.Optional;

/**
 * A configuration with its stored bytes, which are passed on unchanged so that fields of a newer version survive.
 * Immutable by convention; the array is not copied.
 */
record Versioned(FleetConfig config, byte[] document) {
    static Versioned of(FleetConfig config) {
        return new Versioned(config, ConfigCodec.encode(config));
    }

    /** The stored document; the built-in one if the key is absent; empty if it can't be read. */
    static Optional<Versioned> of(Store.Entry entry) {
        return entry.exists() ? of(entry.value()) : Optional.of(of(FleetConfig.BUILT_IN));
    }

    static Optional<Versioned> of(byte[] document) {
        return ConfigCodec.decode(document).map(config -> new Versioned(config, document));
    }

    long revision() {
        return config.revision();
    }

    ConfigDocument message() {
        return new ConfigDocument(revision(), document);
    }
}
