package org.arbutusstack.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.store.KeyValue;
import org.arbutusstack.store.KeyValueStore;
import org.arbutusstack.store.StoreResult;

/** An in-memory store that injects scripted faults into calls, mainly those on the head of the ticket log. */
public final class ScriptedStore implements KeyValueStore {

    /** The fault injected into one call. */
    public enum Fault {
        NONE,
        LOST_CALL,
        LOST_ANSWER,
        LATE,
        REFUSED,
        SILENT
    }

    private final ManualClock clock;

    private final NavigableMap<String, KeyValue> rows = new TreeMap<>();

    private final Deque<Fault> swaps = new ArrayDeque<>();

    private final Deque<Fault> reads = new ArrayDeque<>();

    private final Deque<Runnable> beforeSwap = new ArrayDeque<>();

    private final List<Runnable> delayedSwaps = new ArrayList<>();

    private final List<WatchListener> watches = new ArrayList<>();

    private long revision;

    private long faultyWrite;

    private Fault writeFault = Fault.NONE;

    private boolean down;

    private boolean silent;

    private long readCount;

    private long writeCount;

    public ScriptedStore(ManualClock clock) {
        this.clock = clock;
    }

    public ScriptedStore scriptSwaps(Fault... faults) {
        swaps.addAll(List.of(faults));
        return this;
    }

    public ScriptedStore scriptReads(Fault... faults) {
        reads.addAll(List.of(faults));
        return this;
    }

    public void clearFaults() {
        swaps.clear();
        reads.clear();
    }

    /** Injects a fault into the write with the given number from now on, independently of its key. */
    public void faultAtWrite(long number, Fault fault) {
        faultyWrite = writeCount + number;
        writeFault = fault;
    }

    public void runBeforeNextSwap(Runnable action) {
        beforeSwap.add(action);
    }

    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Sets whether watches deliver no changes, as if their connections were unresponsive. */
    public void silenceWatches(boolean isSilent) {
        silent = isSilent;
    }

    public void put(String key, byte[] value) {
        rows.put(key, new KeyValue(key, value, ++revision));
        if (key.equals(LogKeys.HEAD) && !silent && !down) {
            List.copyOf(watches).forEach(watch -> watch.onChange(rows.get(key)));
        }
    }

    public byte[] value(String key) {
        return rows.get(key).value();
    }

    public int maxValueBytes() {
        return rows.values().stream().mapToInt(row -> row.value().length).max().orElse(0);
    }

    public NavigableMap<String, KeyValue> rows() {
        return rows;
    }

    public long readCount() {
        return readCount;
    }

    public long watchCount() {
        return watches.size();
    }

    public long writeCount() {
        return writeCount;
    }

    @Override
    public StoreResult<KeyValue> get(String key, long deadlineNanos) {
        readCount++;
        if (down) {
            return new StoreResult.NotDone<>("down");
        }
        Fault fault = key.equals(LogKeys.HEAD) && !reads.isEmpty() ? reads.poll() : Fault.NONE;
        if (fault == Fault.SILENT) {
            clock.advanceNanos(deadlineNanos - clock.nowNanos());
        }
        if (fault != Fault.NONE) {
            return new StoreResult.Unknown<>(fault.name());
        }
        KeyValue value = rows.getOrDefault(key, KeyValue.absent(key));
        if (key.equals(LogKeys.HEAD)) {
            delayedSwaps.forEach(Runnable::run);
            delayedSwaps.clear();
        }
        return new StoreResult.Done<>(value);
    }

    @Override
    public StoreResult<List<KeyValue>> list(String prefix, long deadlineNanos) {
        readCount++;
        return new StoreResult.Done<>(
                List.copyOf(rows.subMap(prefix, prefix + '\uffff').values()));
    }

    @Override
    public StoreResult<Long> compareAndSwap(
            String key, long expectedRevision, byte[] value, long leaseId, long deadlineNanos) {
        writeCount++;
        if (key.equals(LogKeys.HEAD) && !beforeSwap.isEmpty()) {
            beforeSwap.poll().run();
        }
        if (down) {
            return new StoreResult.Unknown<>("down");
        }
        Fault fault = key.equals(LogKeys.HEAD) && !swaps.isEmpty() ? swaps.poll() : Fault.NONE;
        fault = writeCount == faultyWrite ? writeFault : fault;
        return switch (fault) {
            case NONE -> swap(key, expectedRevision, value);
            case LOST_ANSWER -> {
                swap(key, expectedRevision, value);
                yield new StoreResult.Unknown<>("the answer was lost");
            }
            case LATE -> {
                delayedSwaps.add(() -> swap(key, expectedRevision, value));
                yield new StoreResult.Unknown<>("late");
            }
            case REFUSED -> new StoreResult.NotDone<>("refused");
            default -> new StoreResult.Unknown<>("the call was lost");
        };
    }

    private StoreResult<Long> swap(String key, long expectedRevision, byte[] value) {
        KeyValue present = rows.getOrDefault(key, KeyValue.absent(key));
        if (present.revision() != expectedRevision) {
            return new StoreResult.Conflict<>();
        }
        put(key, value);
        return new StoreResult.Done<>(revision);
    }

    @Override
    public StoreResult<Long> delete(String key, long expectedRevision, long deadlineNanos) {
        writeCount++;
        KeyValue present = rows.getOrDefault(key, KeyValue.absent(key));
        if (present.revision() != expectedRevision) {
            return new StoreResult.Conflict<>();
        }
        rows.remove(key);
        return new StoreResult.Done<>(++revision);
    }

    @Override
    public StoreResult<Long> grantLease(long timeToLiveSeconds, long deadlineNanos) {
        return new StoreResult.NotDone<>("unused");
    }

    @Override
    public StoreResult<Boolean> renewLease(long leaseId, long deadlineNanos) {
        return new StoreResult.NotDone<>("unused");
    }

    @Override
    public StoreResult<Boolean> revokeLease(long leaseId, long deadlineNanos) {
        return new StoreResult.NotDone<>("unused");
    }

    @Override
    public Watch watch(String prefix, long fromRevision, long deadlineNanos, WatchListener listener) {
        readCount++;
        watches.add(listener);
        return () -> watches.remove(listener);
    }
}
