package io.radishspindle.settings;

/** A fault in a settings file; caught by the loader, which adds file, section and key. Immutable and thread-safe. */
final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SettingsException(String message) {
        super(message);
    }

    SettingsException(String message, Throwable cause) {
        super(message, cause);
    }
}
