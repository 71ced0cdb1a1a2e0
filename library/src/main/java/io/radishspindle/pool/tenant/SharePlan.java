package io.radishspindle.pool.tenant;

import java.util.Map;
import java.util.Optional;

/**
 * The next step of the owner of a slice. Immutable and thread-safe.
 *
 * @param next the shares to write; empty if nothing changes
 * @param ceilings by tenant, the share that the owner means to come down to as its runs end
 */
public record SharePlan(Optional<QuotaShares> next, Map<String, Share> ceilings) {}
