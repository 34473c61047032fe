package org.arbutusstack.side;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import org.arbutusstack.model.JsonCodec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a crash of the engine is distinguished from a lost connection. */
public class CrashDetectorTests {

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
    public void shouldDetectCrashFromReportWhenConnectionWasLost(String before, String after, boolean crashed) {
        CrashDetector detector = new CrashDetector("inc");
        detector.loadRequested(1);
        if (before != null) {
            detector.loadReported(load(before), 2);
        }
        String incident = detector.connectionLost("digest", 3, 4);
        assertTrue(detector.hasUnexplainedLoss());
        detector.loadRequested(5);
        CrashDetector.Verdict verdict = detector.loadReported(load(after), 6);
        assertEquals(verdict.crashed(), crashed);
        assertEquals(verdict.incident(), incident);
        assertEquals(verdict.digests().size(), 1);
        assertFalse(detector.hasUnexplainedLoss());
    }

    @Test
    public void shouldWaitForLaterReportWhenLoadWasRequestedBeforeLoss() {
        CrashDetector detector = new CrashDetector("inc");
        detector.loadReported(load("{\"crashes\":0,\"models\":[1]}"), 1);
        detector.loadRequested(2);
        detector.connectionLost("digest", 1, 3);
        assertEquals(
                detector.loadReported(load("{\"crashes\":0,\"models\":[1]}"), 4)
                        .digests()
                        .size(),
                0);
        assertTrue(detector.hasUnexplainedLoss());
    }

    @Test
    public void shouldReturnSameIncidentWhenLossesOfOneCrashArriveSeparately() {
        CrashDetector detector = new CrashDetector("inc");
        detector.loadReported(load("{\"crashes\":0,\"models\":[1]}"), 1);
        String one = detector.connectionLost("a", 2, 5);
        assertEquals(detector.connectionLost("b", 3, 6), one);
        detector.loadRequested(7);
        detector.loadReported(load("{\"crashes\":1,\"models\":[]}"), 8);
        assertEquals(detector.connectionLost("c", 4, 9), one);
        assertFalse(detector.connectionLost("d", 10, 11).equals(one));
    }
}
