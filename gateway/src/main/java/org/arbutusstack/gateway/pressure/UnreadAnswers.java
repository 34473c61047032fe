package org.arbutusstack.gateway.pressure;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.arbutusstack.http.server.ResponseSink;
import org.arbutusstack.kernel.Assert;

/**
 * The answers that were written to callers' connections and not read, and the decision which of them end.
 *
 * <p>Load addressed: callers that read streams slowly or not at all. The runner has to be read on, since it cuts off an
 * answer that stays unread, so the entry holds what the caller does not read. A stream is ended once it holds more than
 * its share, the one with the most bytes for the least progress once all hold more than theirs, and any answer of which
 * nothing was read for long. The end is a broken connection. Confined to the entry's event loop.
 */
final class UnreadAnswers {

    /** Answers with less unread are not watched: those fit into one write of most callers' connections. */
    static final long MIN_WATCHED_BYTES = 16_384;

    /** Share of the bound for one stream: 2.25 MiB in a heap of 96 MiB, eight times the longest answer of a model. */
    private static final long STREAM_DIVISOR = 16;

    /** Share of the bound for all answers together: an eighth of the heap, as for answers that are held. */
    private static final long SUM_DIVISOR = 3;

    /** Longer than callers wait for any event; a caller that reads nothing for so long has gone or never will read. */
    static final long MAX_IDLE_MILLIS = 30_000;

    private final MemoryAccount account;

    /** Called with the cause and the holding of each answer that this class ends. */
    private final BiConsumer<String, MemoryAccount.Holding> ended;

    private final Map<ResponseSink, Watched> watchedByResponse = new IdentityHashMap<>();

    UnreadAnswers(MemoryAccount account, BiConsumer<String, MemoryAccount.Holding> ended) {
        this.account = Assert.notNull(account, "account");
        this.ended = Assert.notNull(ended, "ended");
    }

    /** Update the account after a write to a caller's connection. */
    void written(ResponseSink response, String request, long bytes, boolean streamed) {
        long pendingBytes = response.pendingBytes();
        Watched watched = watchedByResponse.get(response);
        if (watched == null) {
            if (pendingBytes < MIN_WATCHED_BYTES) {
                return;
            }
            watched = new Watched(account.open(HoldingKind.UNREAD, request, response::disconnect), streamed);
            watchedByResponse.put(response, watched);
        }
        watched.holding.moved(watched.holding.bytes() + bytes - pendingBytes);
        watched.holding.hold(pendingBytes);
    }

    /** Update the account with what callers have read since the last write. */
    void refresh() {
        for (Map.Entry<ResponseSink, Watched> each : new ArrayList<>(watchedByResponse.entrySet())) {
            MemoryAccount.Holding holding = each.getValue().holding;
            long pendingBytes = each.getKey().pendingBytes();
            holding.moved(holding.bytes() - pendingBytes);
            holding.hold(pendingBytes);
            if (pendingBytes == 0) {
                holding.close();
                watchedByResponse.remove(each.getKey());
            }
        }
    }

    /** End the stream that was just written to if it holds more than its share, and others while all hold too much. */
    void enforceShares(ResponseSink response) {
        Watched watched = watchedByResponse.get(response);
        long maxBytes = account.maxBytes() / STREAM_DIVISOR;
        if (watched != null && watched.streamed && watched.holding.bytes() > maxBytes) {
            end("stream-share", watched.holding);
        }
        while (account.bytesOf(HoldingKind.UNREAD) > account.maxBytes() / SUM_DIVISOR) {
            account.worst(HoldingKind.UNREAD).ifPresent(worst -> end("sum", worst));
        }
    }

    /** End the answers of which nothing was read for long. */
    void endIdle() {
        for (Watched each : new ArrayList<>(watchedByResponse.values())) {
            if (each.holding.bytes() > 0 && each.holding.progress().millisSinceMoved() >= MAX_IDLE_MILLIS) {
                end("idle", each.holding);
            }
        }
    }

    private void end(String cause, MemoryAccount.Holding holding) {
        ended.accept(cause, holding);
        holding.end();
    }

    int size() {
        return watchedByResponse.size();
    }

    /** An answer with unread bytes. */
    private record Watched(MemoryAccount.Holding holding, boolean streamed) {}
}
