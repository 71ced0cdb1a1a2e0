package io.radishspindle.cli;

/** Exit codes of the program, for scripts. A code never changes its meaning. */
enum ExitCode {
    OK(0, "done"),
    REFUSED(1, "the request was refused; nothing was changed"),
    USAGE(2, "wrong arguments"),
    CONFLICT(3, "another change came first; nothing was changed"),
    UNAVAILABLE(4, "no server or store answered; nothing was changed"),
    UNKNOWN(5, "the outcome is unknown; look at the audit entries"),
    INCOMPLETE(6, "with --strict: the answer is incomplete because VMs can't be reached");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    int code() {
        return code;
    }

    String meaning() {
        return meaning;
    }
}
