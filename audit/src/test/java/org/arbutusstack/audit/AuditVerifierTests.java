package org.arbutusstack.audit;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.UnaryOperator;
import org.arbutusstack.kernel.digest.Digest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AuditVerifier} with records that were tampered with. */
public class AuditVerifierTests {

    private static final int COUNT = 8;

    private static List<AuditRecord> chain(String target) {
        List<AuditRecord> records = new ArrayList<>();
        Digest chain = Digest.ZERO;
        for (int index = 1; index <= COUNT; index++) {
            AuditEvent event =
                    new AuditEvent.RequestEnded("r-" + index, target, 1, 1, "lm-1", "v1", 1, "answered", "", 200, "");
            AuditRecord record = AuditRecord.following("entry-1", "inc", index, index, event, chain);
            records.add(record);
            chain = new Digest(record.chain());
        }
        return records;
    }

    private static AuditAnchor anchor(long index, boolean closed) {
        AuditRecord at = chain("model").get((int) index - 1);
        return new AuditAnchor("entry-1", "inc", index, at.chain(), 1, closed);
    }

    private static AuditRecord altered(AuditRecord record) {
        AuditEvent event = new AuditEvent.RequestEnded("r-x", "other", 1, 1, "lm-1", "v1", 1, "answered", "", 200, "");
        return new AuditRecord(
                record.process(), record.incarnation(), record.index(), record.atMillis(), event, record.chain());
    }

    @DataProvider
    public Object[][] tamperings() {
        return new Object[][] {
            {"nothing", change(records -> records), COUNT, List.of()},
            {"altered", change(records -> set(records, 3, altered(records.get(3)))), COUNT, List.of("ALTERED 4-4")},
            {"removed", change(records -> without(records, 2)), COUNT, List.of("REMOVED 3-3")},
            {"first removed", change(records -> without(records, 0)), COUNT, List.of("REMOVED 1-1")},
            {"doubled", change(records -> add(records, records.get(4))), COUNT, List.of("DOUBLED 5-5")},
            {"reordered", change(records -> swap(records, 1, 2)), COUNT, List.of("REORDERED 2-2")},
            {"tail cut", change(records -> records.subList(0, 5)), COUNT, List.of("MISSING_TAIL 6-8")},
            {"all cut", change(records -> List.of()), COUNT, List.of("MISSING_TAIL 1-8")},
            {"made anew", change(records -> chain("other")), COUNT, List.of("ANCHOR_MISMATCH 8-8")},
            {"grown after the end", change(records -> records), 5, List.of("ANCHOR_MISMATCH 6-8")}
        };
    }

    private static UnaryOperator<List<AuditRecord>> change(UnaryOperator<List<AuditRecord>> change) {
        return change;
    }

    private static List<AuditRecord> set(List<AuditRecord> records, int at, AuditRecord record) {
        records.set(at, record);
        return records;
    }

    private static List<AuditRecord> without(List<AuditRecord> records, int at) {
        records.remove(at);
        return records;
    }

    private static List<AuditRecord> add(List<AuditRecord> records, AuditRecord record) {
        records.add(record);
        return records;
    }

    private static List<AuditRecord> swap(List<AuditRecord> records, int one, int other) {
        Collections.swap(records, one, other);
        return records;
    }

    private static List<String> describe(AuditReport report) {
        return report.runs().stream()
                .flatMap(run -> run.findings().stream())
                .map(finding -> finding.kind() + " " + finding.fromIndex() + "-" + finding.toIndex())
                .toList();
    }

    @Test(dataProvider = "tamperings")
    public void shouldNameTheStretchWhenTamperedWith(
            String what, UnaryOperator<List<AuditRecord>> tampering, int anchored, List<String> expected) {
        List<AuditRecord> collected = tampering.apply(chain("model"));
        AuditReport report = new AuditVerifier().verify(collected, List.of(anchor(anchored, true)));
        assertEquals(describe(report), expected, what);
    }

    @Test
    public void shouldSayWhatCannotBeShownWhenProcessWasKilled() {
        AuditReport report = new AuditVerifier().verify(chain("model"), List.of(anchor(5, false)));
        assertEquals(describe(report), List.of("OPEN_END 9-" + Long.MAX_VALUE));
        assertEquals(report.findings(FindingKind.Severity.FAULT), List.of());
    }

    @Test
    public void shouldSayThatLengthCannotBeShownWhenNoAnchorExists() {
        AuditReport report = new AuditVerifier().verify(chain("model"), List.of());
        assertEquals(describe(report), List.of("NOT_ANCHORED 1-8"));
    }
}
