package org.arbutusstack.http.client;

import static org.testng.Assert.assertEquals;

import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link HttpCall}. */
public class HttpCallTests {

    private static HttpCall call(Map<String, String> headers) {
        return new HttpCall("GET", "/", headers, new byte[0]);
    }

    @Test
    public void shouldFindHeaderWithoutRegardToCase() {
        assertEquals(call(Map.of("last-event-id", "5")).headers().get("Last-Event-Id"), "5");
    }

    /** Guards against two values of one header, of which the order of a hash table decides. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void shouldRejectNamesThatDifferOnlyInCase() {
        call(Map.of("last-event-id", "5", "Last-Event-Id", "10"));
    }
}
