package io.radishspindle.config;

/**
 * Protections that tests switch off one at a time, to show the failure that each prevents. Immutable and thread-safe.
 *
 * @param newerOnly a document is adopted only if its revision is higher
 * @param checksQuietWatch a watch that is quiet is checked by a read
 * @param gathersAtStart without the store, a starting VM waits for the newest revision of its peers
 * @param resolvesLostAnswers a write without an answer is repeated until its outcome is known
 */
record Mechanisms(boolean newerOnly, boolean checksQuietWatch, boolean gathersAtStart, boolean resolvesLostAnswers) {
    static final Mechanisms ALL = new Mechanisms(true, true, true, true);
}
