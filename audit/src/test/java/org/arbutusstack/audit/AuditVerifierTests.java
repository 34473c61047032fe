package org.arbutusstack.audit;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.UnaryOperator;
import org.arbutusstack.kernel.digest.Digest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link AuditVerifier} names the affected records when records were altered, removed or reordered. */
public class AuditVerifierTests {

    private static final int RECORD_COUNT = 8;

    private static List<AuditRecord> chain(String target) {
        List<AuditRecord> records = new ArrayList<>();
        Digest chain = Digest.ZERO;
        for (int index = 1; index <= RECORD_COUNT; index++) {
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
            {"nothing", operation(records -> records), RECORD_COUNT, List.of()},
            {
                "altered",
                operation(records -> replace(records, 3, altered(records.get(3)))),
                RECORD_COUNT,
                List.of("ALTERED 4-4")
            },
            {"removed", operation(records -> without(records, 2)), RECORD_COUNT, List.of("REMOVED 3-3")},
            {"first removed", operation(records -> without(records, 0)), RECORD_COUNT, List.of("REMOVED 1-1")},
            {"doubled", operation(records -> add(records, records.get(4))), RECORD_COUNT, List.of("DOUBLED 5-5")},
            {"reordered", operation(records -> swap(records, 1, 2)), RECORD_COUNT, List.of("REORDERED 2-2")},
            {"tail cut", operation(records -> records.subList(0, 5)), RECORD_COUNT, List.of("MISSING_TAIL 6-8")},
            {"all cut", operation(records -> List.of()), RECORD_COUNT, List.of("MISSING_TAIL 1-8")},
            {"made anew", operation(records -> chain("other")), RECORD_COUNT, List.of("ANCHOR_MISMATCH 8-8")},
            {"grown after the end", operation(records -> records), 5, List.of("ANCHOR_MISMATCH 6-8")}
        };
    }

    private static UnaryOperator<List<AuditRecord>> operation(UnaryOperator<List<AuditRecord>> operation) {
        return operation;
    }

    private static List<AuditRecord> replace(List<AuditRecord> records, int at, AuditRecord record) {
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
            String name, UnaryOperator<List<AuditRecord>> tampering, int anchored, List<String> expected) {
        List<AuditRecord> collected = tampering.apply(chain("model"));
        AuditReport report = new AuditVerifier().verify(collected, List.of(anchor(anchored, true)));
        assertEquals(describe(report), expected, name);
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
