package io.radishspindle.ownership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Rendezvous hashing of names over VMs. Holds no state. */
final class Rendezvous {
    private Rendezvous() {}

    /** The VM with the highest hash for {@code name}; the same on every VM that sees the same candidates. */
    static Optional<String> winner(String name, Collection<String> vms) {
        return vms.stream()
                .max(Comparator.<String>comparingLong(vm -> weight(name, vm)).thenComparing(vm -> vm));
    }

    private static long weight(String name, String vm) {
        return Hashing.komihash5_0().hashCharsToLong(name + "\n" + vm);
    }
}
