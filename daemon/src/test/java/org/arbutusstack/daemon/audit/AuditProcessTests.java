package org.arbutusstack.daemon.audit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.arbutusstack.audit.AuditAnchor;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditFileReader;
import org.arbutusstack.audit.AuditFinding;
import org.arbutusstack.audit.AuditRecord;
import org.arbutusstack.audit.AuditReport;
import org.arbutusstack.audit.AuditVerifier;
import org.arbutusstack.audit.FindingKind;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.testkit.Json;
import org.arbutusstack.testkit.engine.EngineShape;
import org.arbutusstack.testkit.engine.EngineStandIn;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that the audit records of real processes can be verified after the processes have stopped or were killed, and
 * that removed records are detected.
 */
public class AuditProcessTests {

    private static final String TICKET = "{\"number\":1,\"services\":[{\"name\":\"stitch-lm\",\"kind\":\"ENGINE\","
            + "\"idempotent\":true}],\"models\":[{\"name\":\"boot-design\",\"service\":\"stitch-lm\","
            + "\"version\":\"v1\",\"memoryMb\":100,\"minimumCopies\":1}]}";

    private static final Map<String, String> ANCHOR_EACH_SECOND = Map.of("audit-anchor-seconds", "1");

    private static final byte[] NO_BODY = new byte[0];

    private Path directory;

    private ProcessCluster cluster;

    private DaemonProcess side;

    private DaemonProcess entry;

    private DaemonProcess observer;

    @BeforeMethod
    public void start() throws IOException {
        directory = Files.createTempDirectory(new File("target").toPath().toAbsolutePath(), "audit");
        cluster = new ProcessCluster(directory.toFile());
        EngineStandIn engine = cluster.startEngine(EngineShape.SMALL, null);
        side = cluster.startSide("lm-1", "stitch-lm", "regina", engine.address(), ANCHOR_EACH_SECOND);
        entry = cluster.startEntry("entry-1", "regina", ANCHOR_EACH_SECOND);
        observer = cluster.startEntry("entry-2", "regina", ANCHOR_EACH_SECOND);
        cluster.publishHosts();
        assertTrue(cluster.awaitUp(entry, 30) && cluster.awaitUp(observer, 30));
        assertEquals(cluster.submit(entry, TICKET).status(), 200);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        cluster.close();
    }

    private String sendCompletion(String content) {
        String body = "{\"model\":\"boot-design\",\"max_tokens\":2,\"messages\":[{\"content\":\"" + content + "\"}]}";
        HttpReply reply = ProcessCluster.await(cluster.call(
                entry.port("caller-port"),
                HttpCall.post("/v1/chat/completions", body.getBytes(StandardCharsets.UTF_8))));
        assertEquals(reply.status(), 200, reply.text());
        return Json.read(reply.body()).path("id").asText();
    }

    private List<AuditRecord> collected() {
        return AuditFileReader.read(List.of(entry.log().toPath(), side.log().toPath()))
                .records();
    }

    private List<AuditAnchor> anchors() {
        List<AuditAnchor> anchors = new ArrayList<>();
        for (String host : List.of("entry-1", "lm-1")) {
            HttpReply reply = ProcessCluster.await(cluster.call(
                    observer.port("operator-port"),
                    ProcessCluster.asOperator("GET", "/audit/anchors/" + host, NO_BODY)));
            for (JsonNode node : Json.read(reply.body()).path("anchors")) {
                anchors.add(JsonCodec.read(node.toString().getBytes(StandardCharsets.UTF_8), AuditAnchor.class));
            }
        }
        return anchors;
    }

    private AuditReport verify(List<AuditRecord> records) {
        return new AuditVerifier().verify(records, anchors());
    }

    private static List<FindingKind> kinds(AuditReport report, String host) {
        return report.runs().stream()
                .filter(run -> run.process().equals(host))
                .flatMap(run -> run.findings().stream())
                .map(AuditFinding::kind)
                .toList();
    }

    @Test
    public void shouldShowRequestAndChangeWhenHostsAreGone() {
        String request = sendCompletion("boots");
        entry.terminate();
        side.terminate();
        assertTrue(entry.await(20) && side.await(20));
        List<AuditRecord> records = collected();
        AuditReport report = verify(records);
        assertEquals(kinds(report, "entry-1"), List.of());
        assertEquals(kinds(report, "lm-1"), List.of());
        assertEquals(countEndings(records, request), 1);
        assertTrue(records.stream().anyMatch(record -> isWorkEnded(record.event(), request)));
        assertTrue(records.stream()
                .anyMatch(record -> record.event() instanceof AuditEvent.TicketSubmitted submitted
                        && submitted.operator().equals(ProcessCluster.OPERATOR)));
        assertTrue(records.stream()
                .anyMatch(record -> record.process().equals("lm-1")
                        && record.event() instanceof AuditEvent.TicketInForce inForce
                        && inForce.sequence() == 1));
    }

    private static long countEndings(List<AuditRecord> records, String request) {
        return records.stream()
                .filter(record -> record.event() instanceof AuditEvent.RequestEnded ended
                        && ended.request().equals(request)
                        && ended.outcome().equals("answered")
                        && ended.runner().equals("lm-1")
                        && ended.modelVersion().equals("v1")
                        && ended.ticket() == 1)
                .count();
    }

    private static boolean isWorkEnded(AuditEvent event, String request) {
        return event instanceof AuditEvent.WorkEnded work
                && work.request().equals(request)
                && work.outcome().equals("answered")
                && work.sent();
    }

    @Test
    public void shouldNameRemovedAndOpenStretchesWhenProcessIsKilled() {
        for (int number = 0; number < 5; number++) {
            sendCompletion("boots " + number);
        }
        assertTrue(ProcessCluster.awaitTrue(20, () -> anchors().stream()
                .anyMatch(anchor -> anchor.process().equals("entry-1") && anchor.index() >= 5)));
        entry.kill();
        List<AuditRecord> records = collected();
        assertEquals(kinds(verify(records), "entry-1"), List.of(FindingKind.OPEN_END));
        List<AuditRecord> tampered = new ArrayList<>(records);
        tampered.removeIf(record -> record.process().equals("entry-1") && record.index() == 3);
        assertEquals(kinds(verify(tampered), "entry-1"), List.of(FindingKind.REMOVED, FindingKind.OPEN_END));
    }
}
