package org.arbutusstack.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ClockReading;
import org.arbutusstack.kernel.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which calls confirm that the listener knows all changes, and which failures count as an outage. */
public class PrefixFollowerTests {

    private static final long WAIT_MILLIS = 1_000;

    /** Time for the answer to a call that has waited for a change in vain. */
    private static final long SLACK_MILLIS = 250;

    private static final KeyValue ITEM = new KeyValue("op/config", new byte[] {1}, 5);

    private final Deque<StoreResult<PrefixChanges>> answers = new ArrayDeque<>();

    private final List<Long> waits = new ArrayList<>();

    /** Duration of each call, in milliseconds. */
    private long callMillis;

    private ManualClock clock;

    private RecordingListener listener;

    private PrefixFollower follower;

    @BeforeMethod
    void readSnapshot() {
        answers.clear();
        waits.clear();
        callMillis = 10;
        clock = new ManualClock();
        listener = new RecordingListener();
        follower = new PrefixFollower(new ScriptedReader(), "", WAIT_MILLIS, 100, listener, clock);
        follower.poll();
        listener.events.clear();
    }

    private static StoreResult<PrefixChanges> changes(long revision, KeyValue... items) {
        return new StoreResult.Done<>(new PrefixChanges.Known(List.of(items), new StorePosition(1, revision)));
    }

    /** Guards against a lease that counts from the answer: a change acknowledged during the call may be missing. */
    @Test
    public void shouldConfirmAsOfSendingAfterChangesArePassedOn() {
        clock.advanceMillis(500);
        answers.add(changes(6, ITEM));
        follower.poll();
        assertEquals(listener.events, List.of("changes", "confirmed 510"));
    }

    /** Guards against a watch whose connection died without notice, which tells nothing about the configuration. */
    @Test
    public void shouldConfirmNothingWhenCallFailsOrHistoryIsLost() {
        answers.add(new StoreResult.Unknown<>("timed out"));
        answers.add(new StoreResult.Done<>(new PrefixChanges.HistoryLost()));
        follower.poll();
        follower.poll();
        assertEquals(listener.events, List.of());
    }

    /** Guards against an answer of a replica that does not know the latest changes yet. */
    @Test
    public void shouldConfirmNothingWhenServiceIsBehindKnownRevision() {
        answers.add(changes(4));
        follower.poll();
        assertEquals(listener.events, List.of());
    }

    /** Guards against a lease that ends since the first call after an outage waits for a change in vain. */
    @Test
    public void shouldNotWaitForChangeAfterOutageWhenConfirmationIsUrgent() {
        for (boolean urgent : new boolean[] {false, true}) {
            waits.clear();
            listener.isUrgent = urgent;
            answers.add(new StoreResult.NotDone<>("down"));
            answers.add(new StoreResult.NotDone<>("down"));
            answers.add(changes(5));
            answers.add(changes(5));
            for (int call = 0; call < 4; call++) {
                follower.poll();
            }
            assertEquals(waits, List.of(WAIT_MILLIS, 1L, urgent ? 1 : WAIT_MILLIS, WAIT_MILLIS));
        }
    }

    /** Guards against finding out only after a whole wait whether a cut call was an outage. */
    @Test
    public void shouldNotWaitForChangeInCallAfterCutOne() {
        answers.add(new StoreResult.Unknown<>("the connection was closed"));
        answers.add(changes(5));
        answers.add(changes(5));
        for (int call = 0; call < 3; call++) {
            follower.poll();
        }
        assertEquals(waits, List.of(WAIT_MILLIS, 1L, WAIT_MILLIS));
    }

    /** Guards against taking a cut connection for an outage, after which expired entries are kept for a while. */
    @Test
    public void shouldReportNoOutageWhenCallsThatWaitAreCutAgainAndAgain() {
        for (int cut = 0; cut < 5; cut++) {
            answers.add(new StoreResult.Unknown<>("the connection was closed"));
            answers.add(changes(5));
            answers.add(changes(6 + cut, ITEM));
            for (int call = 0; call < 3; call++) {
                follower.poll();
            }
        }
        assertFalse(listener.events.contains("lost"), listener.events.toString());
        assertEquals(listener.events.stream().filter("changes"::equals).count(), 5);
    }

    @Test
    public void shouldReportOutageOnceWhenTwoCallsInARowFailAndItsEndWhenOneSucceeds() {
        answers.add(new StoreResult.Unknown<>("the connection was closed"));
        answers.add(new StoreResult.NotDone<>("refused"));
        answers.add(new StoreResult.NotDone<>("refused"));
        answers.add(changes(5));
        for (int call = 0; call < 4; call++) {
            follower.poll();
        }
        assertEquals(listener.events.subList(0, 2), List.of("lost", "regained"));
    }

    /** Guards against taking a call for overdue that is cut while its answer is on the way. */
    @Test
    public void shouldReportNoOutageWhenCallIsCutShortlyAfterItsWait() {
        callMillis = WAIT_MILLIS + SLACK_MILLIS - 1;
        answers.add(new StoreResult.Unknown<>("the connection was closed"));
        answers.add(changes(5));
        follower.poll();
        follower.poll();
        assertFalse(listener.events.contains("lost"), listener.events.toString());
    }

    /** Guards against overlooking an outage of which only one call was overdue. */
    @Test
    public void shouldReportOutageWhenOneCallIsNotAnsweredByItsDeadline() {
        callMillis = WAIT_MILLIS + SLACK_MILLIS;
        answers.add(new StoreResult.Unknown<>("timed out"));
        follower.poll();
        assertEquals(listener.events, List.of("lost"));
    }

    /** Guards against confirming a configuration that was lost since the listener threw an exception. */
    @Test
    public void shouldReadAllKeysAgainBeforeConfirmingWhenListenerFailed() {
        listener.isUrgent = true;
        listener.fails = true;
        answers.add(changes(6, ITEM));
        assertThrows(IllegalStateException.class, follower::poll);
        listener.fails = false;
        follower.poll();
        assertEquals(listener.events.get(0), "snapshot");
        assertEquals(listener.events.size(), 2);
    }

    /** Reader that answers as scripted. */
    private final class ScriptedReader implements PrefixReader {

        @Override
        public StoreResult<PrefixSnapshot> snapshot(String prefix, long deadlineNanos) {
            clock.advanceMillis(callMillis);
            return new StoreResult.Done<>(new PrefixSnapshot(List.of(), new StorePosition(1, 5)));
        }

        @Override
        public StoreResult<PrefixChanges> changesAfter(
                String prefix, StorePosition position, long waitMillis, long deadlineNanos) {
            waits.add(waitMillis);
            clock.advanceMillis(callMillis);
            return answers.remove();
        }

        @Override
        public void reconnect() {
            // The script does not depend on connections.
        }
    }

    /** Listener that records the calls. */
    private static final class RecordingListener implements PrefixListener {

        private final List<String> events = new ArrayList<>();

        private boolean isUrgent;

        private boolean fails;

        @Override
        public void onSnapshot(PrefixSnapshot snapshot) {
            events.add("snapshot");
        }

        @Override
        public void onChanges(List<KeyValue> items) {
            if (fails) {
                throw new IllegalStateException("failed");
            }
            events.add("changes");
        }

        @Override
        public void onConfirmed(ClockReading sentAt) {
            events.add("confirmed " + sentAt.firstNanos() / Clock.NANOS_PER_MILLI);
        }

        @Override
        public boolean needsEarlyConfirmation() {
            return isUrgent;
        }

        @Override
        public void onStoreLost() {
            events.add("lost");
        }

        @Override
        public void onStoreRegained() {
            events.add("regained");
        }
    }
}
