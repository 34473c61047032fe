package org.arbutusstack.ctl;

/** Exit codes of the tool, which report the outcome of a command to scripts. */
enum ExitCode {
    /** The command completed. */
    DONE(0),
    /** The command was refused, or a fault was found. */
    REFUSED(1),
    /** The command may or may not have taken effect. */
    UNCERTAIN(2),
    /** No entry answered. */
    UNREACHABLE(3),
    /** The command or its arguments are invalid. */
    USAGE(64);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
