package org.arbutusstack.gateway.request;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import org.arbutusstack.kernel.Assert;

/**
 * Account of the bytes of answers that are held until they can be relayed.
 *
 * <p>Answers that never end would exhaust the memory of the process together, though each of them is bounded. Once all
 * hold more than the limit, the longest is given up, so that short answers are not affected by the long ones of others.
 * Confined to one thread.
 *
 * @param <H> the type of what holds an answer
 */
final class AnswerMemory<H> {

    /** Answers that hold less are not accounted for: those of most requests, and events of streams. */
    static final long MIN_ACCOUNTED_BYTES = 16_384;

    /** Share of the heap: an answer takes up to four times its size while its buffer grows and is copied. */
    private static final long HEAP_DIVISOR = 8;

    private final long maxBytes;

    private final Map<H, Long> bytesByHolder = new HashMap<>();

    private long totalBytes;

    /** Create an account with a limit on what all answers hold. */
    AnswerMemory(long maxBytes) {
        this.maxBytes = Assert.atLeast(maxBytes, 1, "maxBytes");
    }

    /**
     * Return the limit for the heap of this process.
     *
     * @return the limit, in bytes
     */
    static long maxBytesOfHeap() {
        return Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
    }

    /** Set what an answer holds; return whether that changed the account. */
    boolean update(H holder, long bytes) {
        if (bytes < MIN_ACCOUNTED_BYTES) {
            return release(holder);
        }
        Long before = bytesByHolder.put(holder, bytes);
        totalBytes += bytes - (before == null ? 0 : before);
        return true;
    }

    /** Remove an answer that is no longer held; return whether it was accounted for. */
    boolean release(H holder) {
        if (bytesByHolder.isEmpty()) {
            return false;
        }
        Long before = bytesByHolder.remove(holder);
        totalBytes -= before == null ? 0 : before;
        return before != null;
    }

    boolean isExceeded() {
        return totalBytes > maxBytes;
    }

    /** Return what holds the longest answer; there must be one. */
    H largest() {
        return Collections.max(bytesByHolder.entrySet(), Map.Entry.comparingByValue())
                .getKey();
    }

    /** Return what an answer holds, or zero if it is not accounted for. */
    long bytesOf(H holder) {
        return bytesByHolder.getOrDefault(holder, 0L);
    }

    long totalBytes() {
        return totalBytes;
    }
}
