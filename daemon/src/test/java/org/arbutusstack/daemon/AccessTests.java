package org.arbutusstack.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Map;
import org.arbutusstack.http.client.HttpCall;
import org.arbutusstack.http.client.HttpReply;
import org.arbutusstack.testkit.process.DaemonProcess;
import org.arbutusstack.testkit.process.ProcessCluster;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which requests each port of a real entry accepts: the operator port only with a valid token, the caller and
 * admin ports no operator path. Also guards against secrets in the log and the state dump.
 */
public class AccessTests {

    private static final byte[] NO_BODY = new byte[0];

    private ProcessCluster cluster;

    private DaemonProcess entry;

    @BeforeClass
    public void start() {
        cluster = new ProcessCluster(new File("target/access"));
        entry = cluster.startEntry("entry-1", "regina", Map.of());
        assertTrue(cluster.awaitUp(entry, 30));
    }

    @AfterClass(alwaysRun = true)
    public void stop() {
        cluster.close();
    }

    @DataProvider
    public Object[][] ways() {
        String token = "Bearer " + ProcessCluster.OPERATOR_TOKEN;
        return new Object[][] {
            {"operator-port", "GET", "/tickets", "", 401},
            {"operator-port", "POST", "/tickets", "", 401},
            {"operator-port", "GET", "/status", "Bearer wrong", 401},
            {"operator-port", "GET", "/audit/anchors/entry-1", "", 401},
            {"operator-port", "GET", "/tickets", token, 200},
            {"operator-port", "GET", "/status", token, 200},
            {"operator-port", "GET", "/tickets/x", token, 400},
            {"operator-port", "GET", "/tickets/9", token, 404},
            {"operator-port", "POST", "/tickets", token, 400},
            {"operator-port", "GET", "/audit/anchors/entry-1", token, 200},
            {"operator-port", "POST", "/v1/chat/completions", token, 404},
            {"caller-port", "POST", "/tickets", token, 404},
            {"caller-port", "GET", "/state", token, 404},
            {"caller-port", "GET", "/status", token, 404},
            {"admin-port", "GET", "/state", "", 200},
            {"admin-port", "GET", "/healthz", "", 200},
            {"admin-port", "GET", "/metrics", "", 200},
            {"admin-port", "GET", "/readyz", "", 503},
            {"admin-port", "POST", "/tickets", token, 404}
        };
    }

    @Test(dataProvider = "ways")
    public void shouldLetInOnlyWhoBelongsThere(String port, String method, String path, String token, int status) {
        Map<String, String> headers = token.isEmpty() ? Map.of() : Map.of("Authorization", token);
        HttpReply reply =
                ProcessCluster.await(cluster.call(entry.port(port), new HttpCall(method, path, headers, NO_BODY)));
        assertEquals(reply.status(), status, reply.text());
    }

    @Test(dependsOnMethods = "shouldLetInOnlyWhoBelongsThere")
    public void shouldShowNoSecretWhenLogsAndStateAreRead() throws IOException {
        String output = Files.readString(entry.log().toPath()) + cluster.state(entry);
        assertTrue(output.contains("operator-refused"));
        assertFalse(output.contains(ProcessCluster.OPERATOR_TOKEN));
        assertFalse(output.contains("a key for tests on loopback"));
    }
}
