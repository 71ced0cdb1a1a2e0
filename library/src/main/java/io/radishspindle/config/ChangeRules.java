package io.radishspindle.config;

import io.radishspindle.config.ConfigChange.AddException;
import io.radishspindle.config.ConfigChange.EndException;
import io.radishspindle.config.ConfigChange.SetDefault;
import io.radishspindle.error.ErrorCode;
import io.radishspindle.error.Failure;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Checks a change and applies it to a document. Stateless and thread-safe. */
final class ChangeRules {
    static final int MAX_EXCEPTIONS = 1_000;
    private static final int MAX_REASON = 500;
    private static final int MAX_NAME = 200;
    private static final String STEP = "config.change";

    /** Who writes a change, and when. */
    record Origin(String changeId, long wallMs, String vm) {}

    private ChangeRules() {}

    /** The document after the change; the refusal of an outdated change names the changes that came before it. */
    static Either<Failure, FleetConfig> apply(FleetConfig current, ConfigChange change, Origin origin) {
        Optional<String> fault = check(change);
        if (fault.isPresent()) {
            return invalid(fault.get());
        }
        if (change.basedOn() != current.revision()) {
            return Either.left(conflict(current, change.basedOn()));
        }
        if (change instanceof SetDefault set) {
            return setDefault(current, set, origin);
        }
        if (change instanceof AddException add) {
            return addException(current, add, origin);
        }
        return endException(current, (EndException) change, origin);
    }

    private static Optional<String> check(ConfigChange change) {
        if (change.reason().isBlank() || change.reason().length() > MAX_REASON) {
            return Optional.of("a reason of 1 to " + MAX_REASON + " characters is required");
        }
        if (change.actor().isBlank() || change.actor().length() > MAX_NAME) {
            return Optional.of("an actor of 1 to " + MAX_NAME + " characters is required");
        }
        return Optional.empty();
    }

    static Failure conflict(FleetConfig current, long basedOn) {
        List<AuditEntry> newer = current.audit().stream()
                .filter(entry -> entry.revision() > basedOn)
                .toList();
        String named = newer.stream().limit(3).map(AuditEntry::describe).collect(Collectors.joining("; "));
        String more = newer.size() > 3 ? " and " + (newer.size() - 3) + " more" : "";
        String message = "the change is based on revision " + basedOn + ", but revision " + current.revision()
                + " is in force" + (named.isEmpty() ? "" : ": " + named + more);
        return Failure.rejected(ErrorCode.CONFLICT, STEP, message);
    }

    private static Either<Failure, FleetConfig> setDefault(FleetConfig current, SetDefault set, Origin origin) {
        Optional<String> fault = checkValue(set.key(), set.value());
        if (fault.isPresent()) {
            return invalid(fault.get());
        }
        Map<String, String> defaults = new HashMap<>(current.defaults());
        String before = current.effectiveDefaults().getOrDefault(set.key(), "");
        defaults.put(set.key(), set.value());
        String action = "set default " + set.key() + " to " + set.value();
        return next(current, defaults, current.exceptions(), set, origin, action, before);
    }

    private static Either<Failure, FleetConfig> addException(FleetConfig current, AddException add, Origin origin) {
        Optional<String> fault = checkValue(add.key(), add.value()).or(() -> checkTarget(current, add, origin));
        if (fault.isPresent()) {
            return invalid(fault.get());
        }
        FleetException added = new FleetException(
                "x" + (current.revision() + 1),
                add.key(),
                add.value(),
                add.scope(),
                add.target(),
                add.reason(),
                add.actor(),
                origin.wallMs(),
                add.endsAtMs());
        List<FleetException> exceptions = new ArrayList<>(active(current, origin.wallMs()));
        exceptions.add(added);
        String action =
                "add exception " + added.id() + ": " + add.key() + "=" + add.value() + " for " + describe(added);
        String before = current.effectiveDefaults().getOrDefault(add.key(), "");
        return next(current, current.defaults(), exceptions, add, origin, action, before);
    }

    private static String describe(FleetException e) {
        return e.scope().name().toLowerCase(java.util.Locale.ROOT).replace('_', '-') + " " + e.target() + " until "
                + java.time.Instant.ofEpochMilli(e.endsAtMs());
    }

    private static Optional<String> checkTarget(FleetConfig current, AddException add, Origin origin) {
        ConfigKey key = ConfigKey.find(add.key()).orElseThrow();
        if (!key.scopes().contains(add.scope())) {
            return Optional.of(add.key() + " has no exceptions for " + add.scope() + "; possible: " + key.scopes());
        }
        if (add.target().isBlank() || add.target().length() > MAX_NAME) {
            return Optional.of("a target of 1 to " + MAX_NAME + " characters is required");
        }
        if (add.endsAtMs() <= origin.wallMs()) {
            return Optional.of("the end time has passed");
        }
        List<FleetException> active = active(current, origin.wallMs());
        if (active.size() >= MAX_EXCEPTIONS) {
            return Optional.of("there are " + MAX_EXCEPTIONS + " exceptions already; end some first");
        }
        return active.stream()
                .filter(e -> e.concerns(add.key(), add.scope(), add.target()))
                .findFirst()
                .map(e -> "exception " + e.id() + " by " + e.actor() + " concerns the same; end it first");
    }

    private static List<FleetException> active(FleetConfig current, long wallMs) {
        return current.exceptions().stream().filter(e -> e.isActiveAt(wallMs)).toList();
    }

    private static Either<Failure, FleetConfig> endException(FleetConfig current, EndException end, Origin origin) {
        Optional<FleetException> found = current.exceptions().stream()
                .filter(e -> e.id().equals(end.id()))
                .findFirst();
        if (found.isEmpty()) {
            return Either.left(Failure.rejected(ErrorCode.NOT_FOUND, STEP, "there is no exception " + end.id()));
        }
        List<FleetException> rest = active(current, origin.wallMs()).stream()
                .filter(e -> !e.id().equals(end.id()))
                .toList();
        FleetException ended = found.get();
        String action = "end exception " + ended.id() + " for " + describe(ended);
        return next(current, current.defaults(), rest, end, origin, action, ended.key() + "=" + ended.value());
    }

    private static Optional<String> checkValue(String key, String value) {
        Optional<ConfigKey> known = ConfigKey.find(key);
        return known.isEmpty()
                ? Optional.of("unknown key '" + key + "'")
                : known.get().check(value);
    }

    private static Either<Failure, FleetConfig> next(
            FleetConfig current,
            Map<String, String> defaults,
            List<FleetException> exceptions,
            ConfigChange change,
            Origin origin,
            String action,
            String before) {
        long revision = current.revision() + 1;
        List<AuditEntry> audit = new ArrayList<>(current.audit());
        audit.add(new AuditEntry(
                revision,
                origin.changeId(),
                origin.wallMs(),
                origin.vm(),
                change.actor(),
                action,
                before,
                change.reason()));
        return Either.right(new FleetConfig(revision, defaults, exceptions, audit));
    }

    private static Either<Failure, FleetConfig> invalid(String message) {
        return Either.left(Failure.rejected(ErrorCode.INVALID_REQUEST, STEP, message));
    }
}
