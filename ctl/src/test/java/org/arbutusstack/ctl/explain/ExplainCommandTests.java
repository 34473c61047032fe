package org.arbutusstack.ctl.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.NoSuchElementException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the timeline of a request from the logs of several processes. */
public class ExplainCommandTests {

    private static final String HEAD = " level=INFO thread=entry logger=DecisionLog ";

    private Path directory;

    @BeforeMethod
    public void createDirectory() throws IOException {
        directory = Files.createTempDirectory("explain");
    }

    private Path file(String name, String... lines) throws IOException {
        return Files.write(directory.resolve(name), List.of(lines));
    }

    private static List<String> timeline(String requestId, Path... files) throws IOException {
        return ExplainCommand.explain(requestId, List.of(files)).stream()
                .map(TimelineEntry::text)
                .toList();
    }

    private static String at(int second, String text) {
        return "time=2026-12-04T09:00:" + second + ".000Z" + HEAD + text;
    }

    @Test
    public void shouldOrderLinesOfRequestAndOfItsRunnerByTime() throws IOException {
        Path entry = file(
                "entry-1.log",
                at(20, "event=sent request=q1 model=boot runner=i-1"),
                at(22, "event=refused request=q1 model=boot runner=i-1 reason=backend_lost detail=\"reset by peer\""),
                at(21, "event=refused request=q2 model=boot runner=i-1 reason=no_runner"));
        Path other = file(
                "entry-2.log",
                at(23, "event=runner-gone runner=i-1 service=s cause=removed"),
                at(21, "event=runner-gone runner=i-2 service=s cause=removed"),
                at(50, "event=runner-known runner=i-1 service=s"),
                "a line of another program");
        assertEquals(
                timeline("q1", other, entry),
                List.of(
                        "* 2026-12-04T09:00:20Z entry-1.log sent model=boot runner=i-1",
                        "* 2026-12-04T09:00:22Z entry-1.log refused model=boot runner=i-1 reason=backend_lost"
                                + " detail=\"reset by peer\"",
                        "  2026-12-04T09:00:23Z entry-2.log runner-gone runner=i-1 service=s cause=removed"));
    }

    @Test
    public void shouldShowPlacementChangesOfModelAndEventsOfProcess() throws IOException {
        Path collected = file(
                "all.log",
                "  12.1 edge-1 " + at(19, "event=planner-lease fence=7"),
                "  12.2 edge-1 " + at(20, "event=refused request=q1 model=boot runner=none"),
                "  12.3 edge-2 " + at(21, "event=planner-lease fence=8"),
                "  12.4 edge-2 " + at(21, "event=model-move runner=i-9 load=other unload=[boot] sent=true"));
        List<String> printed = timeline("q1", collected);
        assertEquals(printed.size(), 3);
        assertTrue(printed.get(0).contains("edge-1 planner-lease"), printed.toString());
        assertTrue(printed.get(2).contains("model-move runner=i-9 load=other"), printed.toString());
    }

    @Test
    public void shouldFindRunnerByAddressInFailureAndOmitOtherAdapters() throws IOException {
        Path collected = file(
                "all.log",
                "  12.1 edge-1 " + at(18, "event=runner-known runner=i-4 service=s address=10.0.0.4:80"),
                "  12.2 edge-1 "
                        + at(20, "event=refused request=q1 model=boot adapter=a1 detail=\"reset at 10.0.0.4:80\""),
                "  12.3 side-1 " + at(19, "event=order load=true model=boot adapter=a2 outcome=ACCEPTED"),
                "  12.4 side-1 " + at(19, "event=order load=true model=boot adapter=a1 outcome=ACCEPTED"),
                "  12.5 edge-2 " + at(21, "event=runner-gone runner=i-4 service=s cause=removed"));
        List<String> printed = timeline("q1", collected);
        assertEquals(printed.size(), 4);
        assertTrue(printed.get(1).contains("adapter=a1"), printed.toString());
        assertTrue(printed.get(3).contains("runner-gone runner=i-4"), printed.toString());
    }

    @Test
    public void shouldReturnNothingWhenNoLineNamesRequest() throws IOException {
        Path entry = file("entry-1.log", at(20, "event=sent request=q1 runner=i-1"));
        assertTrue(timeline("q2", entry).isEmpty());
    }

    @Test(expectedExceptions = IOException.class)
    public void shouldFailWhenFileCannotBeRead() throws IOException {
        ExplainCommand.explain("q1", List.of(directory.resolve("absent.log")));
    }

    @Test(expectedExceptions = NoSuchElementException.class)
    public void shouldIgnoreLineWhenTimeIsMissing() {
        LogLine.parse("level=INFO event=started", "f").orElseThrow();
    }
}
