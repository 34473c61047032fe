package org.arbutusstack.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.SystemClock;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.arbutusstack.store.etcd.EtcdKeyValueStore;
import org.arbutusstack.testkit.kv.KeyValueFault;
import org.arbutusstack.testkit.kv.KeyValueStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that {@link ChainedAuditTrail} loses no record, also while the key-value service refuses the anchors. */
public class ChainedAuditTrailTests {

    private static final long LONG_PERIOD_MILLIS = 3_600_000;

    private static final long RETENTION_SECONDS = 3_600;

    private static final int RECORD_COUNT = 500;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    private final Clock clock = new SystemClock();

    private KeyValueStandIn standIn;

    private UndertowHttpClient client;

    private KeyValueStore store;

    @BeforeMethod
    public void start() {
        written.reset();
        standIn = new KeyValueStandIn(0);
        standIn.start();
        client = new UndertowHttpClient("test", 1);
        store = new EtcdKeyValueStore(client, HttpTarget.parse(standIn.address()));
    }

    @AfterMethod
    public void stop() {
        client.close();
        standIn.close();
    }

    private ChainedAuditTrail trail(long anchorPeriodMillis) {
        PrintStream stream = new PrintStream(written, true, StandardCharsets.UTF_8);
        return new ChainedAuditTrail("entry-1", "inc", stream, store, clock, anchorPeriodMillis, RETENTION_SECONDS);
    }

    private static void recordEvents(ChainedAuditTrail trail) {
        for (int index = 0; index < RECORD_COUNT; index++) {
            trail.record(new AuditEvent.TicketInForce(index, "chain"));
        }
    }

    private List<AuditAnchor> anchors() {
        StoreResult<List<KeyValue>> listed = store.list(AuditAnchor.PREFIX, clock.deadlineNanos(10_000));
        return ((StoreResult.Done<List<KeyValue>>) listed)
                .value().stream()
                        .map(value -> JsonCodec.read(value.value(), AuditAnchor.class))
                        .toList();
    }

    private List<AuditRecord> collected() throws IOException {
        Path file = Files.createTempFile("audit", ".log");
        Files.write(file, written.toByteArray());
        AuditFileReader.Collected read = AuditFileReader.read(List.of(file));
        Files.delete(file);
        assertEquals(read.malformed(), List.of());
        return read.records();
    }

    @Test
    public void shouldVerifyWholeWhenStoppedGracefully() throws IOException {
        ChainedAuditTrail trail = trail(LONG_PERIOD_MILLIS);
        trail.start();
        recordEvents(trail);
        trail.stop();
        AuditReport report = new AuditVerifier().verify(collected(), anchors());
        assertEquals(report.runs().size(), 1);
        assertEquals(report.runs().get(0).records(), RECORD_COUNT);
        assertEquals(report.runs().get(0).findings(), List.of());
    }

    @Test
    public void shouldGoOnWritingWhenServiceIsDown() throws IOException {
        ChainedAuditTrail trail = trail(1);
        trail.start();
        standIn.fault(KeyValueFault.REFUSE);
        recordEvents(trail);
        trail.stop();
        standIn.fault(KeyValueFault.NONE);
        AuditReport report = new AuditVerifier().verify(collected(), anchors());
        assertEquals(report.runs().get(0).records(), RECORD_COUNT);
        assertEquals(report.findings(FindingKind.Severity.FAULT), List.of());
        assertTrue(report.findings(FindingKind.Severity.UNKNOWN).size() > 0);
    }
}
