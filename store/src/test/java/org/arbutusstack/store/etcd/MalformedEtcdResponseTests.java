package org.arbutusstack.store.etcd;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.http.client.HttpTarget;
import org.arbutusstack.http.client.UndertowHttpClient;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.StoreResult;
import org.arbutusstack.testkit.ResponseSample;
import org.arbutusstack.testkit.ScriptedServer;
import org.arbutusstack.testkit.ScriptedServer.Ending;
import org.arbutusstack.testkit.ScriptedServer.Reply;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that replies of the key-value service count only if they are HTTP/1.1 responses. */
public class MalformedEtcdResponseTests {

    private static final String ITEMS =
            "{\"header\":{\"revision\":\"7\"},\"kvs\":[{\"key\":\"YQ==\",\"value\":\"eA==\",\"mod_revision\":\"3\"}]}";

    private final UndertowHttpClient client = new UndertowHttpClient("reader", 1);

    private ScriptedServer server;

    @BeforeClass
    public void start() throws IOException {
        server = new ScriptedServer((head, number) -> new Reply("", Ending.CLOSE));
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        client.close();
        server.close();
    }

    private StoreResult<KeyValue> read(ResponseSample sample) {
        server.script((head, number) -> new Reply(
                sample.render("Content-Type: application/json\r\n", ITEMS),
                sample.endsWithConnection() ? Ending.CLOSE : Ending.KEEP));
        return new EtcdKeyValueStore(client, HttpTarget.parse(server.address()))
                .get("a", System.nanoTime() + TimeUnit.SECONDS.toNanos(2));
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
                .filter(sample -> sample.template().contains(" 200 "))
                .map(sample -> new Object[] {sample})
                .toArray(Object[][]::new);
    }

    /** Guards against a value that the service did not send. */
    @Test(dataProvider = "malformedResponses")
    public void shouldNotKnowValueWhenResponseIsMalformed(ResponseSample sample) {
        StoreResult<KeyValue> read = read(sample);
        assertFalse(read instanceof StoreResult.Done, read.toString());
    }

    @Test(dataProvider = "properResponses")
    public void shouldReadValueWhenResponseIsProper(ResponseSample sample) {
        StoreResult<KeyValue> read = read(sample);
        assertTrue(read instanceof StoreResult.Done, read.toString());
        assertEquals(((StoreResult.Done<KeyValue>) read).value().text(), "x");
    }
}
