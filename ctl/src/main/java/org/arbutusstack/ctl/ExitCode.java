package org.arbutusstack.ctl;

/** Tells a script what became of a command. */
enum ExitCode {
    /** The command is done. */
    DONE(0),
    /** The command was refused. */
    REFUSED(1),
    /** It is not certain whether the command took effect. */
    UNCERTAIN(2),
    /** No entry answered. */
    UNREACHABLE(3),
    /** The command is not one of the tool's. */
    USAGE(64);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }
}
