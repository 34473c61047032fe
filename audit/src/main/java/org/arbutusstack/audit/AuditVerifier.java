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
 * Checks collected records against each other and against the anchors.
 *
 * <p>Stateless; safe for use by any thread.
 *
 * @see ChainedAuditTrail
 */
public final class AuditVerifier {

    /**
     * Checks records.
     *
     * @param records the records in the order in which they were collected, of any number of runs
     * @param anchors the anchors
     * @return what was found, by run
     */
    public AuditReport verify(Collection<AuditRecord> records, Collection<AuditAnchor> anchors) {
        Map<String, List<AuditRecord>> runs = new LinkedHashMap<>();
        Map<String, AuditAnchor> anchorByRun = new LinkedHashMap<>();
        for (AuditAnchor anchor : anchors) {
            String run = anchor.process() + "/" + anchor.incarnation();
            anchorByRun.put(run, anchor);
            runs.put(run, new ArrayList<>());
        }
        for (AuditRecord record : records) {
            runs.computeIfAbsent(record.process() + "/" + record.incarnation(), run -> new ArrayList<>())
                    .add(record);
        }
        List<AuditReport.Run> reports = new ArrayList<>();
        runs.forEach((run, collected) -> reports.add(verifyRun(run, collected, anchorByRun.get(run))));
        return new AuditReport(reports);
    }

    private static AuditReport.Run verifyRun(String run, List<AuditRecord> collected, AuditAnchor anchor) {
        int slash = run.lastIndexOf('/');
        RunCheck check = new RunCheck(run.substring(0, slash), run.substring(slash + 1), anchor);
        collected.forEach(check::collect);
        check.walk();
        long last = check.byIndex.isEmpty() ? 0 : check.byIndex.lastKey();
        return new AuditReport.Run(check.process, check.incarnation, collected.size(), last, anchor, check.findings);
    }

    /** Checks one run. */
    private static final class RunCheck {

        private final String process;

        private final String incarnation;

        private final AuditAnchor anchor;

        private final SortedMap<Long, AuditRecord> byIndex = new TreeMap<>();

        private final List<AuditFinding> findings = new ArrayList<>();

        private long highest;

        RunCheck(String process, String incarnation, AuditAnchor anchor) {
            this.process = process;
            this.incarnation = incarnation;
            this.anchor = anchor;
        }

        void collect(AuditRecord record) {
            if (byIndex.putIfAbsent(record.index(), record) != null) {
                find(FindingKind.DOUBLED, record.index(), record.index());
                return;
            }
            if (record.index() < highest) {
                find(FindingKind.REORDERED, record.index(), record.index());
            }
            highest = Math.max(highest, record.index());
        }

        void walk() {
            Digest chain = Digest.ZERO;
            long expected = 1;
            boolean chainKnown = true;
            for (AuditRecord record : byIndex.values()) {
                if (record.index() > expected) {
                    find(FindingKind.REMOVED, expected, record.index() - 1);
                    chainKnown = false;
                }
                if (chainKnown && !record.follows(chain)) {
                    find(FindingKind.ALTERED, record.index(), record.index());
                }
                if (record.event() instanceof AuditEvent.RecordsLost) {
                    find(FindingKind.DECLARED_LOST, record.index(), record.index());
                }
                chain = new Digest(record.chain());
                chainKnown = true;
                expected = record.index() + 1;
                checkAnchor(record);
            }
            checkEnd(expected - 1);
        }

        private void checkAnchor(AuditRecord record) {
            boolean anchored = anchor != null && anchor.index() == record.index();
            if (anchored && !anchor.chain().equals(record.chain())) {
                find(FindingKind.ANCHOR_MISMATCH, record.index(), record.index());
            }
        }

        private void checkEnd(long last) {
            if (anchor == null) {
                find(FindingKind.NOT_ANCHORED, 1, last);
                return;
            }
            if (anchor.index() > last) {
                find(FindingKind.MISSING_TAIL, last + 1, anchor.index());
            }
            if (!anchor.closed()) {
                find(FindingKind.OPEN_END, Math.max(last, anchor.index()) + 1, Long.MAX_VALUE);
            } else if (last > anchor.index()) {
                find(FindingKind.ANCHOR_MISMATCH, anchor.index() + 1, last);
            }
        }

        private void find(FindingKind kind, long from, long to) {
            findings.add(new AuditFinding(process, incarnation, kind, from, to));
        }
    }
}
