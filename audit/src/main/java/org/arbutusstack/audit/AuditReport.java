package org.arbutusstack.audit;

import java.util.List;

/**
 * Holds what a verification found.
 *
 * @param runs the runs of processes
 */
public record AuditReport(List<Run> runs) {

    /** Copies the list. */
    public AuditReport {
        runs = List.copyOf(runs);
    }

    /**
     * Lists the findings of a severity.
     *
     * @param severity the severity
     * @return the findings
     */
    public List<AuditFinding> findings(FindingKind.Severity severity) {
        return runs.stream()
                .flatMap(run -> run.findings().stream())
                .filter(finding -> finding.kind().severity() == severity)
                .toList();
    }

    /**
     * Holds what was found of one run of a process.
     *
     * @param process the host's name
     * @param incarnation the name of the run
     * @param records the number of records collected
     * @param lastIndex the number of the last one
     * @param anchor the run's anchor; {@code null} if there is none
     * @param findings what was found
     */
    public record Run(
            String process,
            String incarnation,
            int records,
            long lastIndex,
            AuditAnchor anchor,
            List<AuditFinding> findings) {

        /** Copies the list. */
        public Run {
            findings = List.copyOf(findings);
        }
    }
}
