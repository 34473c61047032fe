package org.arbutusstack.audit;

/** Tells what a verification can find; each constant knows how grave it is and describes itself. */
public enum FindingKind {
    /** A record's content does not fit the chain. */
    ALTERED(Severity.FAULT, "altered: the content does not fit the chain"),
    /** The chain at an anchor has another digest. */
    ANCHOR_MISMATCH(Severity.FAULT, "altered or made anew: the chain differs from its anchor"),
    /** A record between others is not there. */
    REMOVED(Severity.FAULT, "removed: later records are there"),
    /** Records up to the anchor are not there. */
    MISSING_TAIL(Severity.FAULT, "missing: the anchor shows that they were written"),
    /** A record stands there more than once. */
    DOUBLED(Severity.FAULT, "doubled: it stands there more than once"),
    /** A record stands before one that was written earlier. */
    REORDERED(Severity.FAULT, "reordered: it stands before an earlier one"),
    /** No anchor exists for the run. */
    NOT_ANCHORED(Severity.UNKNOWN, "not anchored: the chain fits, its length cannot be shown"),
    /** The run did not end gracefully: what followed the last record cannot be shown. */
    OPEN_END(Severity.UNKNOWN, "open end: the run was killed or still runs; what followed cannot be shown"),
    /** The process itself says that it lost records. */
    DECLARED_LOST(Severity.UNKNOWN, "lost: the process says that it could not write records here");

    private final Severity severity;

    private final String description;

    FindingKind(Severity severity, String description) {
        this.severity = severity;
        this.description = description;
    }

    /**
     * Tells how grave the finding is.
     *
     * @return the severity
     */
    public Severity severity() {
        return severity;
    }

    /**
     * Describes the finding.
     *
     * @return one clause
     */
    public String description() {
        return description;
    }

    /** Tells how grave a finding is. */
    public enum Severity {
        /** The records are not as they were written. */
        FAULT,
        /** Something cannot be shown either way. */
        UNKNOWN
    }
}
