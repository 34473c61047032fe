package org.arbutusstack.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;
import org.arbutusstack.model.ticket.TicketEntry;

/**
 * Retains the most recent entries of the log, bounded by number and size, and the marks of more tickets.
 *
 * <p>Not thread-safe; guarded by the lock of the owner.
 */
final class RecentTickets {

    /** The number of marks; above the maximum of entries in a head, so that marks and number pages miss no ticket. */
    static final int MAX_MARKS = 1_024;

    private static final int MAX_ENTRIES = 512;

    private static final long MAX_BYTES = 4L * 1_024 * 1_024;

    private final Deque<RetainedEntry> entries = new ArrayDeque<>();

    private final Deque<TicketMark> marks = new ArrayDeque<>();

    private final Map<Long, TicketMark> marksByNumber = new HashMap<>();

    private final Map<Long, String> chainsBySequence = new HashMap<>();

    private long retainedBytes;

    private long lastSequence;

    /** An entry and its size in bytes of JSON. */
    private record RetainedEntry(AcceptedTicket ticket, int bytes) {}

    void add(AcceptedTicket ticket) {
        int bytes = JsonCodec.write(ticket.entry()).length;
        entries.addLast(new RetainedEntry(ticket, bytes));
        retainedBytes += bytes;
        lastSequence = ticket.sequence();
        while (entries.size() > MAX_ENTRIES || retainedBytes > MAX_BYTES && entries.size() > 1) {
            retainedBytes -= entries.removeFirst().bytes();
        }
        addMark(TicketMark.of(ticket));
    }

    private void addMark(TicketMark mark) {
        marks.addLast(mark);
        marksByNumber.put(mark.number(), mark);
        chainsBySequence.put(mark.sequence(), mark.chain());
        if (marks.size() > MAX_MARKS) {
            TicketMark oldest = marks.removeFirst();
            marksByNumber.remove(oldest.number(), oldest);
            chainsBySequence.remove(oldest.sequence());
        }
    }

    void reset(long sequence, List<TicketMark> recentMarks) {
        entries.clear();
        retainedBytes = 0;
        marks.clear();
        marksByNumber.clear();
        chainsBySequence.clear();
        lastSequence = sequence;
        recentMarks.forEach(this::addMark);
    }

    long retainedAfterSequence() {
        return lastSequence - entries.size();
    }

    long marksAfterSequence() {
        return lastSequence - marks.size();
    }

    List<TicketMark> marks() {
        return List.copyOf(marks);
    }

    Optional<TicketMark> mark(long number) {
        return Optional.ofNullable(marksByNumber.get(number));
    }

    Optional<Digest> chainAt(long sequence) {
        return Optional.ofNullable(chainsBySequence.get(sequence)).map(Digest::new);
    }

    Optional<AcceptedTicket> ticket(long number) {
        return mark(number)
                .filter(mark -> mark.sequence() > retainedAfterSequence())
                .flatMap(mark -> entries.stream()
                        .map(RetainedEntry::ticket)
                        .filter(ticket -> ticket.sequence() == mark.sequence())
                        .findFirst());
    }

    List<AcceptedTicket> latest(int maxTickets) {
        return entries.stream()
                .skip(Math.max(0, entries.size() - maxTickets))
                .map(RetainedEntry::ticket)
                .toList();
    }

    Optional<LogBatch> batchAfter(long afterSequence, int maxEntries, long maxBytes) {
        if (afterSequence < retainedAfterSequence() || afterSequence >= lastSequence) {
            return Optional.empty();
        }
        List<TicketEntry> batch = new ArrayList<>();
        Digest chain = Digest.ZERO;
        long bytes = 0;
        for (RetainedEntry retained : entries) {
            if (retained.ticket().sequence() <= afterSequence) {
                continue;
            }
            if (batch.size() >= maxEntries || bytes >= maxBytes) {
                break;
            }
            batch.add(retained.ticket().entry());
            chain = retained.ticket().chain();
            bytes += retained.bytes();
        }
        return Optional.of(new LogBatch(afterSequence, batch, chain));
    }
}
