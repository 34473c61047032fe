package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.kernel.time.SystemClock;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.testkit.ResponseSample;
import org.arbutusstack.testkit.ScriptedServer;
import org.arbutusstack.testkit.ScriptedServer.Ending;
import org.arbutusstack.testkit.ScriptedServer.Reply;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that answers of the backend server count only if they are HTTP/1.1 responses. */
public class MalformedBackendResponseTests {

    private static final String LOAD = "{\"memory_mb\":1,\"slots\":2}";

    private final UndertowHttpClient client = new UndertowHttpClient("reader", 1);

    private final SystemClock clock = new SystemClock();

    private BlockingQueue<SideEvent> events;

    private ScriptedServer server;

    private BackendClient backend;

    private WorkItem work;

    @BeforeMethod
    public void start() throws IOException {
        server = new ScriptedServer((head, number) -> new Reply("", Ending.CLOSE));
        events = new LinkedBlockingQueue<>();
        backend = new BackendClient(client, HttpTarget.parse(server.address()), clock, 2_000, events::add);
        work = new WorkItem(
                WorkDispatcherFixture.frame(1, 1, 2_000, Priority.values()[0]), null, clock.deadlineNanos(2_000));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        client.close();
    }

    private void answer(ResponseSample sample) {
        server.script((head, number) -> new Reply(
                sample.render("Content-Type: application/json\r\n", LOAD),
                sample.endsWithConnection() ? Ending.CLOSE : Ending.KEEP));
    }

    private SideEvent nextEvent() throws InterruptedException {
        SideEvent next = events.poll(4, TimeUnit.SECONDS);
        assertNotNull(next, "the call did not end");
        return next;
    }

    @DataProvider
    public Object[][] malformedResponses() {
        return ResponseSample.malformed().stream()
                .map(sample -> new Object[] {sample})
                .toArray(Object[][]::new);
    }

    @DataProvider
    public Object[][] properResponses() {
        return ResponseSample.proper().stream()
                .map(sample -> new Object[] {sample})
                .toArray(Object[][]::new);
    }

    /** Guards against an answer, a report or the outcome of an order that the backend server did not send. */
    @Test(dataProvider = "malformedResponses")
    public void shouldFailCallsWhenResponseIsMalformed(ResponseSample sample) throws Exception {
        answer(sample);
        backend.requestLoad();
        assertNull(((SideEvent.LoadReported) nextEvent()).load());
        backend.sendOrder(new EngineOrder(OrderKind.values()[0], "m", 1, 1));
        assertNotNull(((SideEvent.OrderEnded) nextEvent()).failure());
        backend.send(work);
        SideEvent event = nextEvent();
        while (event instanceof SideEvent.BackendHead || event instanceof SideEvent.BackendBytes) {
            assertEquals(sample.part(), ResponseSample.Part.FRAMING);
            event = nextEvent();
        }
        assertTrue(event instanceof SideEvent.BackendFailed, event.toString());
        server.close();
    }

    @Test(dataProvider = "properResponses")
    public void shouldPassAnswerOnWhenResponseIsProper(ResponseSample sample) throws Exception {
        answer(sample);
        backend.send(work);
        assertTrue(nextEvent() instanceof SideEvent.BackendHead);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        SideEvent event = nextEvent();
        while (event instanceof SideEvent.BackendBytes bytes) {
            body.writeBytes(bytes.bytes());
            event = nextEvent();
        }
        assertTrue(event instanceof SideEvent.BackendEnded, event.toString());
        assertEquals(body.toString(), LOAD);
        server.close();
    }
}
