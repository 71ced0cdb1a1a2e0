package io.radishspindle.ownership;

import java.util.List;

/** Value of a slot of the log. Immutable and thread-safe. */
record JournalSegment(long epoch, long sequence, String changeId, List<JournalEntry> entries) {
    JournalSegment {
        entries = List.copyOf(entries);
    }
}
