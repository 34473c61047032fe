package org.arbutusstack.gateway.pressure;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.kernel.time.Clock;

/**
 * Account of all bytes that an entry holds for callers and runners, in both directions; decides which bodies are read
 * and what is ended when the bytes exceed the bound. Performs no I/O.
 *
 * <p>Load addressed: many large uploads at once, beside answers that slow callers do not read. Each of them is within
 * its own limit, but together they exceed the heap. Bodies are admitted only up to their share of the bound, so that
 * the answers to requests that have run always have room. Answers are not known in advance; once they exceed the bound,
 * the holding with the most bytes for the least recent progress is to be ended. Confined to the entry's event loop.
 */
public final class MemoryAccount {

    /**
     * The bound is three eighths of the heap: the objects of an entry without requests, the young generation, and the
     * copies of a body and of an answer that is joined need the rest.
     */
    private static final long HEAP_PARTS = 8;

    private static final long BOUND_PARTS = 3;

    /** Share of the bound for bodies; the rest, an eighth of the heap, is what answers had before bodies counted. */
    private static final long BODY_THIRDS = 2;

    private static final long THIRDS = 3;

    /** A holding that moved less within a window counts as stalled: at that rate, 4 MiB would take four minutes. */
    static final long MIN_PROGRESS_BYTES = 16_384;

    /** The least time that callers wait for an answer; a caller that sends nothing for so long may have gone. */
    static final long STALL_MILLIS = 2_000;

    private static final long MIN_RETRY_AFTER_MILLIS = 250;

    /** The least time that callers wait for an answer, in which the admitted bodies of a full entry usually end. */
    private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

    private final long maxBytes;

    private final Clock clock;

    private final Set<Holding> holdings = new LinkedHashSet<>();

    private final Map<HoldingKind, Long> bytesByKind = new EnumMap<>(HoldingKind.class);

    private final ProgressWindow released;

    private long totalBytes;

    /**
     * Create an account.
     *
     * @param maxBytes the bound on all bytes held
     * @param clock the clock of the process
     */
    public MemoryAccount(long maxBytes, Clock clock) {
        this.maxBytes = Assert.atLeast(maxBytes, 1, "maxBytes");
        this.clock = Assert.notNull(clock, "clock");
        this.released = new ProgressWindow(clock);
    }

    /**
     * Return the bound for the heap of this process.
     *
     * @return the bound, in bytes
     */
    public static long maxBytesOfHeap() {
        return Runtime.getRuntime().maxMemory() / HEAP_PARTS * BOUND_PARTS;
    }

    /**
     * Open a holding of zero bytes.
     *
     * @param kind what the bytes are held for
     * @param request the identifier of the request, for logs
     * @param end ends what the bytes are held for; called at most once, after the holding has been closed
     * @return the holding, which must be closed
     */
    public Holding open(HoldingKind kind, String request, Runnable end) {
        Holding holding = new Holding(kind, request, end);
        holdings.add(holding);
        return holding;
    }

    /**
     * Change the bytes of a kind that are held without a holding of their own.
     *
     * @param kind what the bytes are held for
     * @param bytes the change, negative if bytes were released
     */
    public void add(HoldingKind kind, long bytes) {
        bytesByKind.merge(kind, bytes, Long::sum);
        totalBytes += bytes;
        if (kind == HoldingKind.BODY && bytes < 0) {
            released.moved(-bytes);
        }
    }

    /** Return the share of the bound that bodies may take together. */
    long maxBodyBytes() {
        return maxBytes / THIRDS * BODY_THIRDS;
    }

    /**
     * Return whether more bytes of a body may be held.
     *
     * @param bytes the number of bytes
     * @return {@code true} if they fit into the share of bodies and into the bound
     */
    public boolean admitsBody(long bytes) {
        long bodyBytes = bytesOf(HoldingKind.UPLOAD) + bytesOf(HoldingKind.BODY) + bytes;
        return bodyBytes <= maxBodyBytes() && totalBytes + bytes <= maxBytes;
    }

    /**
     * Return the upload that reserves the most although its caller sends next to nothing; it makes room for others.
     *
     * @return the upload; empty if all callers send
     */
    public Optional<Holding> stalledUpload() {
        Holding stalled = null;
        for (Holding each : holdings) {
            boolean isStalled = each.kind == HoldingKind.UPLOAD
                    && each.progress.ageMillis() >= STALL_MILLIS
                    && each.progress.recentBytes() < MIN_PROGRESS_BYTES;
            if (isStalled && (stalled == null || each.bytes > stalled.bytes)) {
                stalled = each;
            }
        }
        return Optional.ofNullable(stalled);
    }

    /**
     * Return the time after which a refused body may be admitted, by the rate at which others are released.
     *
     * @param bytes the size of the body
     * @return the time in milliseconds
     */
    public long retryAfterMillis(long bytes) {
        long releasedBytes = Math.max(1, released.recentBytes());
        long waitMillis = bytes * ProgressWindow.WINDOW_MILLIS / releasedBytes;
        return Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, waitMillis));
    }

    /**
     * Return the holding to end while the bytes exceed the bound.
     *
     * @return the holding with the most bytes for the least progress; empty if the bound holds or none may be ended
     */
    public Optional<Holding> excess() {
        return totalBytes <= maxBytes ? Optional.empty() : worst(null);
    }

    /** Return the holding of a kind, or of any kind if null, with the most bytes for the least recent progress. */
    Optional<Holding> worst(HoldingKind kind) {
        Holding worst = null;
        for (Holding each : holdings) {
            boolean eligible = each.bytes > 0 && each.kind.isEndable() && (kind == null || each.kind == kind);
            if (eligible && (worst == null || each.score() > worst.score())) {
                worst = each;
            }
        }
        return Optional.ofNullable(worst);
    }

    /**
     * Return the bytes of a kind.
     *
     * @param kind what the bytes are held for
     * @return the number of bytes
     */
    public long bytesOf(HoldingKind kind) {
        return bytesByKind.getOrDefault(kind, 0L);
    }

    /**
     * Return the bytes of all kinds.
     *
     * @return the number of bytes
     */
    public long totalBytes() {
        return totalBytes;
    }

    /**
     * Return the bound.
     *
     * @return the bound on all bytes held
     */
    public long maxBytes() {
        return maxBytes;
    }

    /** Bytes that are held for one request, and how fast they move on. Confined to the entry's event loop. */
    public final class Holding {

        private final HoldingKind kind;

        private final String request;

        private final Runnable end;

        private final ProgressWindow progress = new ProgressWindow(clock);

        private long bytes;

        private boolean closed;

        private Holding(HoldingKind kind, String request, Runnable end) {
            this.kind = kind;
            this.request = request;
            this.end = Assert.notNull(end, "end");
        }

        /**
         * Set the number of bytes that are held; ignored once the holding is closed.
         *
         * @param held the number of bytes
         */
        public void hold(long held) {
            if (!closed) {
                add(kind, held - bytes);
                bytes = held;
            }
        }

        /**
         * Record progress.
         *
         * @param count the number of bytes that were received from a caller, or that a caller read
         */
        public void moved(long count) {
            progress.moved(count);
        }

        /** Release the bytes. */
        public void close() {
            hold(0);
            closed = true;
            holdings.remove(this);
        }

        /** Close the holding and end what the bytes were held for. */
        void end() {
            close();
            IsolatedSteps.run("held-bytes", end);
        }

        /** Return how many times the recent progress is held: larger for more bytes and for less progress. */
        private double score() {
            return (double) bytes / (progress.recentBytes() + MIN_PROGRESS_BYTES);
        }

        HoldingKind kind() {
            return kind;
        }

        String request() {
            return request;
        }

        /**
         * Return the bytes held.
         *
         * @return the number of bytes
         */
        public long bytes() {
            return bytes;
        }

        ProgressWindow progress() {
            return progress;
        }
    }
}
