package org.arbutusstack.gateway.plan;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.arbutusstack.kernel.time.Clock;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which entry plans after entries have restarted or lost the key. */
public class PlannerElectionTests {

    private final ManualClock clock = new ManualClock(1);

    private OneKeyStore store;

    @BeforeMethod
    void emptyStore() {
        store = new OneKeyStore();
    }

    private PlannerElection election(String identity) {
        return new PlannerElection(store, identity, clock);
    }

    @Test
    public void shouldPlanAtOnceWhenEarlierRunAtTheSameAddressHeldTheKey() {
        PlannerElection former = election("10.0.0.1:7000 former");
        former.step();
        assertTrue(former.holdsLease());
        PlannerElection next = election("10.0.0.1:7000 next");
        next.onHolderRead("10.0.0.1:7000 former");
        next.step();
        assertTrue(next.holdsLease());
        assertTrue(next.fence() > former.fence());
        assertEquals(store.item.text(), "10.0.0.1:7000 next");
    }

    @Test
    public void shouldPlanAtItsFirstStepWhenTheKeyWasNotReadYet() {
        election("10.0.0.1:7000 former").step();
        PlannerElection next = election("10.0.0.1:7000 next");
        next.step();
        assertTrue(next.holdsLease());
    }

    @Test
    public void shouldWaitForTheLeaseWhenAnotherEntryHoldsTheKey() {
        election("10.0.0.1:7000 former").step();
        for (String identity : List.of("10.0.0.2:7000 other", "10.0.0.1:70001 other")) {
            PlannerElection other = election(identity);
            other.onHolderRead("10.0.0.1:7000 former");
            other.step();
            assertFalse(other.holdsLease(), identity);
        }
    }

    @Test
    public void shouldLeaveTheKeyWhenAnotherEntryTookItMeanwhile() {
        PlannerElection next = election("10.0.0.1:7000 next");
        next.onHolderRead("10.0.0.1:7000 former");
        election("10.0.0.2:7000 other").step();
        next.step();
        assertFalse(next.holdsLease());
        assertEquals(store.item.text(), "10.0.0.2:7000 other");
    }

    @Test
    public void shouldPersistTheRecordOfDemandOnlyWhilePlanning() {
        PlannerElection planner = election("10.0.0.1:7000 run");
        planner.step();
        planner.persist(DemandRecord.KEY, new byte[] {1});
        planner.step();
        assertEquals(store.record.value(), new byte[] {1});
        PlannerElection other = election("10.0.0.2:7000 run");
        other.onHolderRead("10.0.0.1:7000 run");
        other.persist(DemandRecord.KEY, new byte[] {2});
        other.step();
        assertEquals(store.record.value(), new byte[] {1});
    }

    /** Guards against planning after a suspension: the lease may have expired while the monotonic clock stood still. */
    @Test
    public void shouldNotHoldLeaseAfterASuspensionOfTheProcess() {
        SuspendableClock suspendable = new SuspendableClock();
        PlannerElection planner = new PlannerElection(store, "10.0.0.1:7000 run", suspendable);
        planner.step();
        assertTrue(planner.holdsLease());
        suspendable.suspendedMillis = 5_000;
        assertFalse(planner.holdsLease());
        planner.step();
        assertFalse(planner.holdsLease());
    }

    /** Guards against two planners: a restored store may have given the number of this entry's lease to another. */
    @Test
    public void shouldNotHoldLeaseGrantedBeforeStoreWasRestored() {
        PlannerElection planner = election("10.0.0.1:7000 run");
        planner.step();
        assertTrue(planner.holdsLease());
        store.restore();
        assertFalse(planner.holdsLease());
        planner.step();
        assertFalse(planner.holdsLease());
    }

    /** Guards against orders that all sides ignore until the revisions have passed the token that they know. */
    @Test
    public void shouldOrderWithHigherTokenWhenRevisionsOfRestoredStoreAreLower() {
        PlannerElection former = election("10.0.0.1:7000 run");
        former.step();
        long token = former.fence();
        store.restore();
        PlannerElection next = election("10.0.0.2:7000 other");
        next.step();
        assertTrue(next.holdsLease());
        assertTrue(next.fence() > token, next.fence() + " after " + token);
    }

    /** Guards against planning on without the key, which was written with a lease that may end at any time. */
    @Test
    public void shouldWriteKeyAgainWithItsLeaseWhenKeyIsItsOwn() {
        PlannerElection planner = election("10.0.0.1:7000 run");
        planner.step();
        long token = planner.fence();
        store.era++;
        planner.onHolderRead("");
        planner.step();
        assertTrue(planner.holdsLease());
        assertEquals(store.leaseOfItem, store.lastLease);
        assertTrue(planner.fence() > token);
    }

    /** Guards against a record that is never persisted again, since the restored store has an earlier one or none. */
    @Test
    public void shouldPersistRecordThatRestoredStoreDoesNotHave() {
        PlannerElection planner = election("10.0.0.1:7000 run");
        planner.step();
        planner.persist(DemandRecord.KEY, new byte[] {1});
        planner.step();
        store.restore();
        planner.onHolderRead("");
        planner.step();
        assertTrue(planner.holdsLease());
        for (int request = 0; request < 2; request++) {
            planner.persist(DemandRecord.KEY, new byte[] {2});
            planner.step();
        }
        assertEquals(store.record.value(), new byte[] {2});
    }

    /** Clock whose wall time advances while its monotonic time stands still. */
    private static final class SuspendableClock implements Clock {

        private final ManualClock monotonic = new ManualClock(1);

        private long suspendedMillis;

        @Override
        public long nowNanos() {
            return monotonic.nowNanos();
        }

        @Override
        public long wallMillis() {
            return monotonic.wallMillis() + suspendedMillis;
        }

        @Override
        public void pause(long millis) {
            monotonic.pause(millis);
        }
    }

    /** Store with one key, one record, and leases that never expire. */
    private static final class OneKeyStore implements KeyValueStore {

        private KeyValue item = KeyValue.absent(PlannerElection.KEY);

        private KeyValue record = KeyValue.absent(DemandRecord.KEY);

        private long revision = 10;

        private long era = 1;

        private long lastLease;

        private long leaseOfItem;

        /** Come back from a copy that holds nothing. */
        void restore() {
            era++;
            revision = 2;
            lastLease = 0;
            item = KeyValue.absent(PlannerElection.KEY);
            record = KeyValue.absent(DemandRecord.KEY);
        }

        @Override
        public long era() {
            return era;
        }

        @Override
        public StoreResult<KeyValue> get(String key, long deadlineNanos) {
            return new StoreResult.Done<>(key.equals(DemandRecord.KEY) ? record : item);
        }

        @Override
        public StoreResult<Long> compareAndSwap(
                String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos) {
            if (key.equals(DemandRecord.KEY)) {
                if (record.revision() != expectedRevision) {
                    return new StoreResult.Conflict<>();
                }
                record = new KeyValue(key, value, ++revision);
                return new StoreResult.Done<>(revision);
            }
            if (item.revision() != expectedRevision) {
                return new StoreResult.Conflict<>();
            }
            item = new KeyValue(key, value, ++revision);
            leaseOfItem = leaseId;
            return new StoreResult.Done<>(revision);
        }

        @Override
        public StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos) {
            return new StoreResult.Done<>(++lastLease);
        }

        @Override
        public StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos) {
            return new StoreResult.Done<>(true);
        }

        @Override
        public StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos) {
            return new StoreResult.Done<>(true);
        }

        @Override
        public StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos) {
            throw new UnsupportedOperationException();
        }

        @Override
        public StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos) {
            throw new UnsupportedOperationException();
        }

        @Override
        public Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener) {
            throw new UnsupportedOperationException();
        }
    }
}
