package io.radishspindle.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Moves old audit entries out of the document. Stateless and thread-safe.
 *
 * <p>Block {@code n} holds exactly the revisions 100n+1 to 100n+100. Accepted entries never change, so two writers of
 * a block write the same bytes, and a block that already exists is as good as one just written.
 */
final class AuditBlocks {
    static final int BLOCK_ENTRIES = 100;
    static final String KEY_PREFIX = "config/audit/";

    /** A block to write before the document without its entries. */
    record Overflow(String key, byte[] block, FleetConfig rest) {}

    private AuditBlocks() {}

    static String key(long block) {
        return String.format(java.util.Locale.ROOT, "%s%08d", KEY_PREFIX, block);
    }

    static long blockOf(long revision) {
        return (revision - 1) / BLOCK_ENTRIES;
    }

    /** The oldest block, once the document also holds another full block of newer entries. */
    static Optional<Overflow> overflow(FleetConfig config) {
        if (config.audit().size() < 2 * BLOCK_ENTRIES) {
            return Optional.empty();
        }
        long block = blockOf(config.audit().get(0).revision());
        List<AuditEntry> old = new ArrayList<>();
        List<AuditEntry> kept = new ArrayList<>();
        for (AuditEntry entry : config.audit()) {
            (blockOf(entry.revision()) == block ? old : kept).add(entry);
        }
        FleetConfig rest = new FleetConfig(config.revision(), config.defaults(), config.exceptions(), kept);
        return Optional.of(new Overflow(key(block), ConfigCodec.encodeAudit(old), rest));
    }
}
