package io.radishspindle.entry.operator;

import io.radishspindle.config.AuditEntry;
import io.radishspindle.config.ConfigService;
import io.radishspindle.error.Failure;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Lists accepted changes, newest first: from the document and, further back, from the store. Belongs to one event
 * loop.
 */
public final class AuditRoutes {
    private static final int DEFAULT_LIMIT = 100;
    private static final int MAX_LIMIT = 10_000;
    /** Blocks of 100 entries that one request may read from the store. */
    private static final int MAX_BLOCKS = 100;

    /** @param complete false if older entries exist that were not read; {@code missing} says why */
    private record Listing(List<AuditEntry> entries, boolean complete, String missing) {}

    /** What a request asks for. */
    private record Query(Predicate<AuditEntry> filter, int limit, long sinceMs) {}

    private final ConfigService config;

    public AuditRoutes(ConfigService config) {
        this.config = config;
    }

    /** Adds the route; parameters are actor, text, since, until, before (a revision) and limit. */
    public void addRoutes(Router router) {
        router.get("/audit").handler(this::list);
    }

    private void list(RoutingContext context) {
        Query query;
        try {
            query = query(context);
        } catch (DateTimeParseException e) {
            Answers.invalid(context, "since and until must be times like 2026-12-24T18:00:00Z");
            return;
        } catch (NumberFormatException e) {
            Answers.invalid(context, "limit and before must be whole numbers");
            return;
        }
        if (query.limit() < 1 || query.limit() > MAX_LIMIT) {
            Answers.invalid(context, "limit must be from 1 to " + MAX_LIMIT);
            return;
        }
        if (config.current().isEmpty()) {
            Answers.json(context, new Listing(List.of(), false, "this VM has no configuration yet"));
            return;
        }
        List<AuditEntry> newest = new ArrayList<>(config.current().get().audit());
        newest.sort(Comparator.comparingLong(AuditEntry::revision).reversed());
        List<AuditEntry> found = new ArrayList<>();
        newest.stream().filter(query.filter()).forEach(found::add);
        long oldest = newest.isEmpty() ? 1 : newest.get(newest.size() - 1).revision();
        long oldestAtMs = newest.isEmpty() ? 0 : newest.get(newest.size() - 1).atMs();
        readOlder(context, query, found, oldest, oldestAtMs, MAX_BLOCKS);
    }

    private static Query query(RoutingContext context) {
        Optional<String> actor = Answers.parameter(context, "actor");
        Optional<String> text = Answers.parameter(context, "text");
        long since = Answers.parameter(context, "since").map(AuditRoutes::time).orElse(Long.MIN_VALUE);
        long until = Answers.parameter(context, "until").map(AuditRoutes::time).orElse(Long.MAX_VALUE);
        long before = Answers.parameter(context, "before").map(Long::parseLong).orElse(Long.MAX_VALUE);
        int limit = Answers.parameter(context, "limit").map(Integer::parseInt).orElse(DEFAULT_LIMIT);
        Predicate<AuditEntry> filter = e -> actor.map(e.actor()::equals).orElse(true)
                && text.map(t -> e.action().contains(t) || e.reason().contains(t))
                        .orElse(true)
                && e.atMs() >= since
                && e.atMs() <= until
                && e.revision() < before;
        return new Query(filter, limit, since);
    }

    private static long time(String text) {
        return Instant.parse(text).toEpochMilli();
    }

    private void readOlder(
            RoutingContext context, Query query, List<AuditEntry> found, long oldest, long oldestAtMs, int blocks) {
        boolean enough = found.size() >= query.limit() || oldest <= 1 || oldestAtMs < query.sinceMs();
        if (enough || blocks == 0) {
            finish(context, query, found, enough ? "" : "more than " + MAX_BLOCKS + " blocks; narrow the search");
            return;
        }
        long block = ConfigService.auditBlockOf(oldest - 1);
        config.auditBlock(block).onComplete(read -> {
            if (read.failed() || read.result().isLeft()) {
                String reason = read.failed()
                        ? String.valueOf(read.cause().getMessage())
                        : read.result().mapLeft(Failure::message).getLeft();
                finish(context, query, found, "entries before revision " + oldest + " could not be read: " + reason);
                return;
            }
            List<AuditEntry> entries = new ArrayList<>(read.result().get());
            if (entries.isEmpty()) {
                finish(context, query, found, "the store has no entries before revision " + oldest);
                return;
            }
            entries.sort(Comparator.comparingLong(AuditEntry::revision).reversed());
            entries.stream().filter(query.filter()).forEach(found::add);
            AuditEntry last = entries.get(entries.size() - 1);
            readOlder(context, query, found, last.revision(), last.atMs(), blocks - 1);
        });
    }

    private static void finish(RoutingContext context, Query query, List<AuditEntry> found, String missing) {
        List<AuditEntry> limited = found.stream().limit(query.limit()).toList();
        Answers.json(context, new Listing(limited, missing.isEmpty(), missing));
    }
}
