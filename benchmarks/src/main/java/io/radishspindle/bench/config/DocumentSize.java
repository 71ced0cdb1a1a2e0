package io.radishspindle.bench.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.radishspindle.config.AuditEntry;
import io.radishspindle.config.FleetConfig;
import io.radishspindle.config.FleetException;
import io.radishspindle.config.FleetException.Scope;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Size of a typical document, by encoding one. Stateless and thread-safe. */
final class DocumentSize {
    /** A document holds 100 to 199 audit entries; this is the mean. */
    private static final int AUDIT_ENTRIES = 150;

    private static final int EXCEPTIONS = 60;
    private static final long AT_MS = 1_800_000_000_000L;

    private DocumentSize() {}

    static int bytes() {
        List<FleetException> exceptions = new ArrayList<>();
        for (int i = 0; i < EXCEPTIONS; i++) {
            exceptions.add(new FleetException(
                    "x" + (40_000 + i),
                    "team-quota-cores",
                    "512",
                    Scope.TEAM,
                    "team-" + i,
                    "graduation batch of the spring season",
                    "operator-" + i % 9,
                    AT_MS,
                    AT_MS + 86_400_000));
        }
        List<AuditEntry> audit = new ArrayList<>();
        for (int i = 0; i < AUDIT_ENTRIES; i++) {
            audit.add(new AuditEntry(
                    40_000 + i,
                    "sel-a-1-123e4567-e89b-12d3-a456-426614174000",
                    AT_MS,
                    "sel-a-1",
                    "operator-" + i % 9,
                    "add exception x" + i + ": team-quota-cores=512 for team team-" + i + " until 2026-12-24T18:00:00Z",
                    "256",
                    "graduation batch of the spring season"));
        }
        FleetConfig config = new FleetConfig(40_150, Map.of("max-queued-tasks", "30000"), exceptions, audit);
        try {
            return new ObjectMapper().writeValueAsBytes(config).length;
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
