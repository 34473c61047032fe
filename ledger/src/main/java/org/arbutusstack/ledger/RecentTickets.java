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

/** Keeps the last entries of the log up to a number and a size, and the marks of more. Guarded by its owner's lock. */
final class RecentTickets {

    /** The marks kept; more than a head may name entries, so that marks and number pages together miss none. */
    static final int MOST_MARKS = 1_024;

    private static final int MOST_ENTRIES = 512;

    private static final long MOST_BYTES = 4L * 1_024 * 1_024;

    private final Deque<Kept> entries = new ArrayDeque<>();

    private final Deque<TicketMark> marks = new ArrayDeque<>();

    private final Map<Long, TicketMark> marksByNumber = new HashMap<>();

    private final Map<Long, String> chainsBySequence = new HashMap<>();

    private long keptBytes;

    private long lastSequence;

    /** Holds an entry with its size in bytes of JSON. */
    private record Kept(AcceptedTicket ticket, int bytes) {}

    void add(AcceptedTicket ticket) {
        int bytes = JsonCodec.write(ticket.entry()).length;
        entries.addLast(new Kept(ticket, bytes));
        keptBytes += bytes;
        lastSequence = ticket.sequence();
        while (entries.size() > MOST_ENTRIES || keptBytes > MOST_BYTES && entries.size() > 1) {
            keptBytes -= entries.removeFirst().bytes();
        }
        addMark(TicketMark.of(ticket));
    }

    private void addMark(TicketMark mark) {
        marks.addLast(mark);
        marksByNumber.put(mark.number(), mark);
        chainsBySequence.put(mark.sequence(), mark.chain());
        if (marks.size() > MOST_MARKS) {
            TicketMark oldest = marks.removeFirst();
            marksByNumber.remove(oldest.number(), oldest);
            chainsBySequence.remove(oldest.sequence());
        }
    }

    void restart(long sequence, List<TicketMark> last) {
        entries.clear();
        keptBytes = 0;
        marks.clear();
        marksByNumber.clear();
        chainsBySequence.clear();
        lastSequence = sequence;
        last.forEach(this::addMark);
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
                        .map(Kept::ticket)
                        .filter(ticket -> ticket.sequence() == mark.sequence())
                        .findFirst());
    }

    List<AcceptedTicket> latest(int most) {
        return entries.stream()
                .skip(Math.max(0, entries.size() - most))
                .map(Kept::ticket)
                .toList();
    }

    Optional<LogBatch> batchAfter(long afterSequence, int most, long mostBytes) {
        if (afterSequence < retainedAfterSequence() || afterSequence >= lastSequence) {
            return Optional.empty();
        }
        List<TicketEntry> batch = new ArrayList<>();
        Digest chain = Digest.ZERO;
        long bytes = 0;
        for (Kept kept : entries) {
            if (kept.ticket().sequence() <= afterSequence) {
                continue;
            }
            if (batch.size() >= most || bytes >= mostBytes) {
                break;
            }
            batch.add(kept.ticket().entry());
            chain = kept.ticket().chain();
            bytes += kept.bytes();
        }
        return Optional.of(new LogBatch(afterSequence, batch, chain));
    }
}
