package org.arbutusstack.audit;

/**
 * Result of a verification that concerns a range of the records of one run: a fault, or a fact that cannot be verified.
 *
 * @param process the name of the host
 * @param incarnation the name of the run of the process
 * @param kind the kind of finding
 * @param fromIndex the index of the first record concerned
 * @param toIndex the index of the last record concerned; {@link Long#MAX_VALUE} if the end is unknown
 */
public record AuditFinding(String process, String incarnation, FindingKind kind, long fromIndex, long toIndex) {

    /**
     * Return a human-readable description of the finding.
     *
     * @return one line with severity, run, range of records and description
     */
    public String describe() {
        String to = toIndex == Long.MAX_VALUE ? "end" : Long.toString(toIndex);
        String range = fromIndex == toIndex ? "record " + fromIndex : "records " + fromIndex + " to " + to;
        return kind.severity() + " " + process + "/" + incarnation + " " + range + ": " + kind.description();
    }
}
