package org.arbutusstack.audit;

/**
 * Says what is wrong with, or cannot be shown of, a stretch of one run's records.
 *
 * @param process the host's name
 * @param incarnation the name of the run of the process
 * @param kind what was found
 * @param fromIndex the first record concerned
 * @param toIndex the last record concerned; {@link Long#MAX_VALUE} if the end is not known
 */
public record AuditFinding(String process, String incarnation, FindingKind kind, long fromIndex, long toIndex) {

    /**
     * Writes the finding for people.
     *
     * @return one line
     */
    public String describe() {
        String to = toIndex == Long.MAX_VALUE ? "end" : Long.toString(toIndex);
        String stretch = fromIndex == toIndex ? "record " + fromIndex : "records " + fromIndex + " to " + to;
        return kind.severity() + " " + process + "/" + incarnation + " " + stretch + ": " + kind.description();
    }
}
