package org.arbutusstack.ctl;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.undertow.server.HttpServerExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.audit.AuditAnchor;
import org.arbutusstack.audit.AuditEvent;
import org.arbutusstack.audit.AuditRecord;
import org.arbutusstack.http.server.Responses;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.kernel.setting.SettingsParser;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.testkit.AbstractStandIn;
import org.arbutusstack.testkit.process.FreePorts;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ArbutusControl} against a fake entry. */
public class ArbutusControlTests {

    private static final String TICKET = "{\"number\":7,\"sequence\":3,\"operator\":\"ann\",\"submittedAtMillis\":1,"
            + "\"acceptedBy\":\"entry-1\",\"digest\":\"d\",\"chain\":\"c\",\"inForceOn\":2,\"runners\":2,"
            + "\"ticket\":{}}";

    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

    private FakeEntry entry;

    private Path directory;

    @BeforeMethod
    public void start() throws IOException {
        printed.reset();
        entry = new FakeEntry();
        entry.start();
        directory = Files.createTempDirectory("ctl");
    }

    @AfterMethod
    public void stop() {
        entry.close();
    }

    private ExitCode run(String entries, String... words) {
        List<String> arguments = new ArrayList<>(List.of("--entries", entries));
        arguments.addAll(Arrays.asList(words));
        PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8);
        SettingsParser parser = new SettingsParser("arbutusctl", ControlSettings.all());
        Map<String, String> variables = Map.of("ARBUTUS_TOKEN", "secret token");
        return ArbutusControl.run(parser.parse(arguments.toArray(new String[0]), variables), out, out);
    }

    private String text() {
        return printed.toString(StandardCharsets.UTF_8);
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {200, TICKET, ExitCode.DONE, "in force on 2 of 2 runners"},
            {409, "{\"error\":{\"reason\":\"superseded\",\"message\":\"m\"}}", ExitCode.REFUSED, "superseded: m"},
            {401, "{\"error\":{\"reason\":\"unauthorized\",\"message\":\"m\"}}", ExitCode.REFUSED, "unauthorized"},
            {503, "{\"error\":{\"reason\":\"not_accepted\",\"message\":\"m\"}}", ExitCode.UNREACHABLE, "not_accepted"},
            {504, "{\"error\":{\"reason\":\"undecided\",\"message\":\"m\"}}", ExitCode.UNCERTAIN, "undecided"}
        };
    }

    @Test(dataProvider = "answers")
    public void shouldReportOutcomeWhenTicketIsSubmitted(int status, String json, ExitCode code, String expected)
            throws IOException {
        Path file = Files.writeString(directory.resolve("ticket.json"), "{}");
        entry.answer("/tickets", status, json);
        assertEquals(run(entry.address(), "ticket", "submit", file.toString()), code);
        assertTrue(text().contains(expected), text());
    }

    /** Guards against scripts that write a configuration to the store although its check found an error. */
    @Test
    public void shouldReportFindingsWhenConfigurationIsChecked() throws IOException {
        String config = "{\"version\":2,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"path-prefix\":\"/\","
                + "\"kind\":\"safe\",\"timeout-ms\":9,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}]}";
        String file = Files.writeString(directory.resolve("new.json"), config).toString();
        String old = Files.writeString(directory.resolve("old.json"), config.replace(":2,", ":1,"))
                .toString();
        String wrong = Files.writeString(directory.resolve("wrong.json"), config.replace("safe", "save"))
                .toString();
        assertEquals(run(entry.address(), "config", "check", file, "--against", old), ExitCode.DONE);
        assertTrue(text().contains("nothing found"), text());
        assertEquals(run(entry.address(), "config", "check", wrong), ExitCode.REFUSED);
        assertTrue(text().contains("error: routes[0] \"r\": "), text());
        printed.reset();
        assertEquals(run(entry.address(), "config", "check", wrong, "--output", "json"), ExitCode.REFUSED);
        assertTrue(text().startsWith("[") && text().contains("\"severity\" : \"ERROR\""), text());
        assertEquals(run(entry.address(), "config", "check", file, "--against", wrong), ExitCode.REFUSED);
        assertEquals(run(entry.address(), "config", "check", file + "x"), ExitCode.USAGE);
        assertEquals(run(entry.address(), "config", "check", file, "--output", "xml"), ExitCode.USAGE);
    }

    @Test
    public void shouldTryNextEntryWhenFirstIsDown() {
        entry.answer("/tickets/7", 200, TICKET);
        String entries = "127.0.0.1:" + FreePorts.next() + "," + entry.address();
        assertEquals(run(entries, "ticket", "show", "7"), ExitCode.DONE);
        assertEquals(entry.token, "Bearer secret token");
        assertFalse(text().contains("secret token"));
    }

    @DataProvider
    public Object[][] invalidArguments() {
        return new Object[][] {
            {new String[] {}},
            {new String[] {"tickets"}},
            {new String[] {"ticket", "submit"}},
            {new String[] {"audit", "request", "id"}},
            {new String[] {"dump"}},
            {new String[] {"dump", "nowhere"}},
            {new String[] {"ticket", "submit", "/does/not/exist"}},
            {new String[] {"--no-such-flag", "status"}}
        };
    }

    @Test(dataProvider = "invalidArguments")
    public void shouldPrintUsageErrorWhenArgumentsAreInvalid(String[] words) {
        assertEquals(run(entry.address(), words), ExitCode.USAGE);
        assertFalse(text().isBlank());
    }

    private List<AuditRecord> records() {
        List<AuditRecord> records = new ArrayList<>();
        Digest chain = Digest.ZERO;
        for (int index = 1; index <= 3; index++) {
            AuditEvent event = new AuditEvent.RequestEnded(
                    "r-" + index, "boot-design", 7, 3, "lm-1", "v1", 1, "answered", "", 200, "");
            AuditRecord record = AuditRecord.following("entry-1", "inc", index, index, event, chain);
            chain = new Digest(record.chain());
            records.add(record);
        }
        return records;
    }

    private Path collect(List<AuditRecord> records) throws IOException {
        StringBuilder lines = new StringBuilder("time=now level=INFO a line of another kind\n");
        records.forEach(record -> lines.append(new String(JsonCodec.write(record), StandardCharsets.UTF_8))
                .append('\n'));
        return Files.writeString(directory.resolve("collected.log"), lines);
    }

    private void anchorLast(List<AuditRecord> records) {
        AuditRecord last = records.get(records.size() - 1);
        AuditAnchor anchor = new AuditAnchor("entry-1", "inc", last.index(), last.chain(), 1, true);
        byte[] json = JsonCodec.write(Map.of("anchors", List.of(anchor)));
        entry.answer("/audit/anchors/entry-1", 200, new String(json, StandardCharsets.UTF_8));
    }

    @Test
    public void shouldShowRequestWhenRecordsAreComplete() throws IOException {
        anchorLast(records());
        assertEquals(
                run(
                        entry.address(),
                        "audit",
                        "request",
                        "r-2",
                        collect(records()).toString()),
                ExitCode.DONE);
        assertTrue(text().contains("lm-1") && text().contains("no fault found in 1 runs"), text());
    }

    @Test
    public void shouldReportFaultWhenRecordIsRemoved() throws IOException {
        anchorLast(records());
        List<AuditRecord> tampered = records();
        tampered.remove(1);
        assertEquals(run(entry.address(), "audit", "verify", collect(tampered).toString()), ExitCode.REFUSED);
        assertTrue(text().contains("entry-1/inc record 2: removed"), text());
    }

    @Test
    public void shouldReportFaultWhenWholeRunIsRemoved() throws IOException {
        anchorLast(records());
        ExitCode code = run(
                entry.address(),
                "--hosts",
                "entry-1",
                "audit",
                "verify",
                collect(List.of()).toString());
        assertEquals(code, ExitCode.REFUSED);
        assertTrue(text().contains("records 1 to 3: missing"), text());
    }

    @Test
    public void shouldNotVerifyWhenAnchorsCannotBeRead() throws IOException {
        assertEquals(run(entry.address(), "audit", "verify", collect(records()).toString()), ExitCode.UNREACHABLE);
    }

    /** Entry that gives preset answers. */
    private static final class FakeEntry extends AbstractStandIn {

        private final Map<String, String> bodies = new HashMap<>();

        private final Map<String, Integer> statuses = new HashMap<>();

        private volatile String token;

        FakeEntry() {
            super(0);
        }

        void answer(String path, int status, String json) {
            bodies.put(path, json);
            statuses.put(path, status);
        }

        @Override
        protected void handle(HttpServerExchange exchange, String path, byte[] body) {
            token = exchange.getRequestHeaders().getFirst("Authorization");
            Responses.json(exchange, statuses.getOrDefault(path, 404), bodies.getOrDefault(path, "{}"));
        }
    }
}
