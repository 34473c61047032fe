package org.arbutusstack.audit;

import java.util.List;

/**
 * Result of a verification.
 *
 * @param runs the results by run of a process
 */
public record AuditReport(List<Run> runs) {

    /** Create a report with an immutable copy of the list. */
    public AuditReport {
        runs = List.copyOf(runs);
    }

    /**
     * Return the findings of all runs that have the given severity.
     *
     * @param severity the severity to select
     * @return the findings in the order of the runs
     */
    public List<AuditFinding> findings(FindingKind.Severity severity) {
        return runs.stream()
                .flatMap(run -> run.findings().stream())
                .filter(finding -> finding.kind().severity() == severity)
                .toList();
    }

    /**
     * Result of the verification of one run of a process.
     *
     * @param process the name of the host
     * @param incarnation the name of the run
     * @param records the number of records collected
     * @param lastIndex the highest index among them; zero if there are none
     * @param anchor the anchor of the run; {@code null} if there is none
     * @param findings the findings for this run
     */
    public record Run(
            String process,
            String incarnation,
            int records,
            long lastIndex,
            AuditAnchor anchor,
            List<AuditFinding> findings) {

        /** Create a result with an immutable copy of the list. */
        public Run {
            findings = List.copyOf(findings);
        }
    }
}
