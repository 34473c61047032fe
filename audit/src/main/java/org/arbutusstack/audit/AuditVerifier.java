package org.arbutusstack.audit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.arbutusstack.kernel.digest.Digest;

/**
 * Verifier of collected audit records: checks the hash chain of each run and compares it with the run's anchor.
 *
 * <p>Stateless and thread-safe.
 *
 * @see ChainedAuditTrail
 */
public final class AuditVerifier {

    /**
     * Verify the records of any number of runs.
     *
     * @param records the records in the order in which they were collected
     * @param anchors the anchors, at most one for each run
     * @return the findings by run, including runs that have an anchor but no records
     */
    public AuditReport verify(Collection<AuditRecord> records, Collection<AuditAnchor> anchors) {
        Map<String, List<AuditRecord>> recordsByRun = new LinkedHashMap<>();
        Map<String, AuditAnchor> anchorByRun = new LinkedHashMap<>();
        for (AuditAnchor anchor : anchors) {
            String run = anchor.process() + "/" + anchor.incarnation();
            anchorByRun.put(run, anchor);
            recordsByRun.put(run, new ArrayList<>());
        }
        for (AuditRecord record : records) {
            recordsByRun
                    .computeIfAbsent(record.process() + "/" + record.incarnation(), run -> new ArrayList<>())
                    .add(record);
        }
        List<AuditReport.Run> reports = new ArrayList<>();
        recordsByRun.forEach((run, collected) -> reports.add(verifyRun(run, collected, anchorByRun.get(run))));
        return new AuditReport(reports);
    }

    private static AuditReport.Run verifyRun(String run, List<AuditRecord> collected, AuditAnchor anchor) {
        int slash = run.lastIndexOf('/');
        RunVerifier runVerifier = new RunVerifier(run.substring(0, slash), run.substring(slash + 1), anchor);
        collected.forEach(runVerifier::collect);
        runVerifier.verifyChain();
        long last = runVerifier.byIndex.isEmpty() ? 0 : runVerifier.byIndex.lastKey();
        return new AuditReport.Run(
                runVerifier.process, runVerifier.incarnation, collected.size(), last, anchor, runVerifier.findings);
    }

    /** Verification of one run: {@link #collect} each record, then call {@link #verifyChain}. */
    private static final class RunVerifier {

        private final String process;

        private final String incarnation;

        private final AuditAnchor anchor;

        private final SortedMap<Long, AuditRecord> byIndex = new TreeMap<>();

        private final List<AuditFinding> findings = new ArrayList<>();

        private long maxIndex;

        RunVerifier(String process, String incarnation, AuditAnchor anchor) {
            this.process = process;
            this.incarnation = incarnation;
            this.anchor = anchor;
        }

        void collect(AuditRecord record) {
            if (byIndex.putIfAbsent(record.index(), record) != null) {
                addFinding(FindingKind.DOUBLED, record.index(), record.index());
                return;
            }
            if (record.index() < maxIndex) {
                addFinding(FindingKind.REORDERED, record.index(), record.index());
            }
            maxIndex = Math.max(maxIndex, record.index());
        }

        void verifyChain() {
            Digest chain = Digest.ZERO;
            long expected = 1;
            boolean digestKnown = true;
            for (AuditRecord record : byIndex.values()) {
                if (record.index() > expected) {
                    addFinding(FindingKind.REMOVED, expected, record.index() - 1);
                    digestKnown = false;
                }
                if (digestKnown && !record.follows(chain)) {
                    addFinding(FindingKind.ALTERED, record.index(), record.index());
                }
                if (record.event() instanceof AuditEvent.RecordsLost) {
                    addFinding(FindingKind.DECLARED_LOST, record.index(), record.index());
                }
                chain = new Digest(record.chain());
                digestKnown = true;
                expected = record.index() + 1;
                checkAnchor(record);
            }
            checkEnd(expected - 1);
        }

        private void checkAnchor(AuditRecord record) {
            boolean anchored = anchor != null && anchor.index() == record.index();
            if (anchored && !anchor.chain().equals(record.chain())) {
                addFinding(FindingKind.ANCHOR_MISMATCH, record.index(), record.index());
            }
        }

        private void checkEnd(long last) {
            if (anchor == null) {
                addFinding(FindingKind.NOT_ANCHORED, 1, last);
                return;
            }
            if (anchor.index() > last) {
                addFinding(FindingKind.MISSING_TAIL, last + 1, anchor.index());
            }
            if (!anchor.closed()) {
                addFinding(FindingKind.OPEN_END, Math.max(last, anchor.index()) + 1, Long.MAX_VALUE);
            } else if (last > anchor.index()) {
                addFinding(FindingKind.ANCHOR_MISMATCH, anchor.index() + 1, last);
            }
        }

        private void addFinding(FindingKind kind, long from, long to) {
            findings.add(new AuditFinding(process, incarnation, kind, from, to));
        }
    }
}
