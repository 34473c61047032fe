package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import org.arbutusstack.model.JsonCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests how a crash of the engine is told from the loss of a connection. */
public class CrashWatchTests {

    private static JsonNode load(String json) {
        return JsonCodec.read(json.getBytes(java.nio.charset.StandardCharsets.UTF_8), JsonNode.class);
    }

    @DataProvider
    Object[][] reports() {
        return new Object[][] {
            {"{\"crashes\":4,\"models\":[1]}", "{\"crashes\":5,\"models\":[]}", true},
            {"{\"crashes\":4,\"models\":[1]}", "{\"crashes\":4,\"models\":[1]}", false},
            {"{\"crashes\":4,\"models\":[1]}", "{\"crashes\":4,\"models\":[]}", false},
            {"{\"models\":[1]}", "{\"models\":[]}", true},
            {"{\"models\":[1]}", "{\"models\":[1]}", false},
            {null, "{\"crashes\":5,\"models\":[1]}", false},
        };
    }

    @Test(dataProvider = "reports")
    public void shouldTellCrashByReportWhenConnectionWasLost(String before, String after, boolean crashed) {
        CrashWatch watch = new CrashWatch("inc");
        watch.asked(1);
        if (before != null) {
            watch.reported(load(before), 2);
        }
        String incident = watch.lost("digest", 3, 4);
        assertTrue(watch.isUncertain());
        watch.asked(5);
        CrashWatch.Verdict verdict = watch.reported(load(after), 6);
        assertEquals(verdict.crashed(), crashed);
        assertEquals(verdict.incident(), incident);
        assertEquals(verdict.digests().size(), 1);
        assertFalse(watch.isUncertain());
    }

    @Test
    public void shouldWaitForLaterReportWhenLoadWasAskedBeforeLoss() {
        CrashWatch watch = new CrashWatch("inc");
        watch.reported(load("{\"crashes\":0,\"models\":[1]}"), 1);
        watch.asked(2);
        watch.lost("digest", 1, 3);
        assertEquals(
                watch.reported(load("{\"crashes\":0,\"models\":[1]}"), 4)
                        .digests()
                        .size(),
                0);
        assertTrue(watch.isUncertain());
    }

    @Test
    public void shouldNameSameIncidentWhenLossesOfOneCrashComeApart() {
        CrashWatch watch = new CrashWatch("inc");
        watch.reported(load("{\"crashes\":0,\"models\":[1]}"), 1);
        String one = watch.lost("a", 2, 5);
        assertEquals(watch.lost("b", 3, 6), one);
        watch.asked(7);
        watch.reported(load("{\"crashes\":1,\"models\":[]}"), 8);
        assertEquals(watch.lost("c", 4, 9), one);
        assertFalse(watch.lost("d", 10, 11).equals(one));
    }
}
