package io.radishspindle.pool.model;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The tenants of one version of the configuration and the API keys of their callers. Immutable and thread-safe.
 *
 * <p>Invariant: keys are kept and compared as digests only, so that neither a heap dump nor the time of a look-up
 * reveals a key.
 */
public final class TenantDirectory {
    /** A directory without tenants: callers need no key. */
    public static final TenantDirectory NONE = new TenantDirectory(Map.of(), Map.of(), false);

    private final Map<String, Tenant> byName;
    private final Map<String, Tenant> byKeyDigest;

    private final boolean enabled;

    private TenantDirectory(Map<String, Tenant> byName, Map<String, Tenant> byKeyDigest, boolean enabled) {
        this.byName = byName;
        this.byKeyDigest = byKeyDigest;
        this.enabled = enabled;
    }

    /**
     * Creates a directory of tenants with their API keys; a key of two tenants belongs to the first. Callers need a key
     * also if the map is empty, as none of the configured tenants may have been readable.
     */
    public static TenantDirectory of(Map<Tenant, ? extends Collection<String>> keysByTenant) {
        Map<String, Tenant> byName = new LinkedHashMap<>();
        Map<String, Tenant> byKeyDigest = new LinkedHashMap<>();
        keysByTenant.forEach((tenant, keys) -> {
            byName.put(tenant.name(), tenant);
            keys.forEach(key -> byKeyDigest.putIfAbsent(digest(key), tenant));
        });
        return new TenantDirectory(byName, byKeyDigest, true);
    }

    /** Returns whether the deployment has tenants, so that callers need a key. */
    public boolean isEnabled() {
        return enabled;
    }

    /** Returns the tenant to which an API key belongs; empty if the key is unknown. */
    public Optional<Tenant> ofKey(String key) {
        return Optional.ofNullable(byKeyDigest.get(digest(key)));
    }

    public Optional<Tenant> named(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** All tenants, in the order of the configuration. */
    public Collection<Tenant> tenants() {
        return byName.values();
    }

    /** Number of API keys of all tenants. */
    public int keyCount() {
        return byKeyDigest.size();
    }

    private static String digest(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
