package org.arbutusstack.ledger;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Holds the marks of the accepted tickets with numbers of one range.
 *
 * @param marks the marks ordered by number
 */
public record NumberPage(List<TicketMark> marks) {

    /** The page before the first mark. */
    public static final NumberPage EMPTY = new NumberPage(List.of());

    private static final long NUMBERS_PER_PAGE = 512;

    /** Copies the marks. */
    public NumberPage {
        marks = List.copyOf(marks);
    }

    /**
     * Tells on which page a ticket's mark is.
     *
     * @param number the ticket's number
     * @return the page
     */
    public static long pageOf(long number) {
        return number / NUMBERS_PER_PAGE;
    }

    /**
     * Adds marks; those already there stay.
     *
     * @param added the marks
     * @return the page with them
     */
    public NumberPage with(List<TicketMark> added) {
        TreeMap<Long, TicketMark> byNumber = new TreeMap<>();
        added.forEach(mark -> byNumber.put(mark.number(), mark));
        marks.forEach(mark -> byNumber.put(mark.number(), mark));
        return new NumberPage(List.copyOf(byNumber.values()));
    }

    /**
     * Finds the mark of a ticket.
     *
     * @param number the ticket's number
     * @return the mark, or empty if none is on this page
     */
    public Optional<TicketMark> find(long number) {
        return marks.stream().filter(mark -> mark.number() == number).findFirst();
    }
}
