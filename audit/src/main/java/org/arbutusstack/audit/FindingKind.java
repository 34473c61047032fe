package org.arbutusstack.audit;

/** Kind of finding of a verification, with its severity and description. */
public enum FindingKind {
    /** The content of a record does not match its chain digest. */
    ALTERED(Severity.FAULT, "altered: the content does not fit the chain"),
    /** The chain digest differs from the anchor, or the chain continues after its closing anchor. */
    ANCHOR_MISMATCH(Severity.FAULT, "altered or made anew: the chain differs from its anchor"),
    /** Records before a later record are missing. */
    REMOVED(Severity.FAULT, "removed: later records are there"),
    /** Records at the end of the chain, up to the anchor, are missing. */
    MISSING_TAIL(Severity.FAULT, "missing: the anchor shows that they were written"),
    /** A record occurs more than once. */
    DOUBLED(Severity.FAULT, "doubled: it stands there more than once"),
    /** A record follows one that was written later. */
    REORDERED(Severity.FAULT, "reordered: it stands before an earlier one"),
    /** No anchor exists for the run, so missing records at its end cannot be detected. */
    NOT_ANCHORED(Severity.UNKNOWN, "not anchored: the chain fits, its length cannot be shown"),
    /** The run did not stop gracefully, or is still active: records after the last known one cannot be verified. */
    OPEN_END(Severity.UNKNOWN, "open end: the run was killed or still runs; what followed cannot be shown"),
    /** The process recorded that it dropped records. */
    DECLARED_LOST(Severity.UNKNOWN, "lost: the process says that it could not write records here");

    private final Severity severity;

    private final String description;

    FindingKind(Severity severity, String description) {
        this.severity = severity;
        this.description = description;
    }

    /**
     * Return the severity of findings of this kind.
     *
     * @return whether it is a fault or cannot be verified
     */
    public Severity severity() {
        return severity;
    }

    /**
     * Return the description of findings of this kind.
     *
     * @return the text printed after the range of records
     */
    public String description() {
        return description;
    }

    /** Severity of a finding. */
    public enum Severity {
        /** The records differ from those that were written. */
        FAULT,
        /** It cannot be verified whether records are missing. */
        UNKNOWN
    }
}
