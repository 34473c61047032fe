package org.arbutusstack.ledger;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A page of the index of accepted tickets: the marks of the tickets whose numbers are in one range.
 *
 * @param marks the marks ordered by number
 */
public record NumberPage(List<TicketMark> marks) {

    /** A page without marks. */
    public static final NumberPage EMPTY = new NumberPage(List.of());

    private static final long NUMBERS_PER_PAGE = 512;

    /** Make a defensive copy of the marks. */
    public NumberPage {
        marks = List.copyOf(marks);
    }

    /**
     * Return the page that contains the mark of a ticket.
     *
     * @param number the ticket's number
     * @return the number of the page, from zero
     */
    public static long pageOf(long number) {
        return number / NUMBERS_PER_PAGE;
    }

    /**
     * Create a page with additional marks; an existing mark with the same number takes precedence.
     *
     * @param added the marks to add
     * @return the merged page
     */
    public NumberPage with(List<TicketMark> added) {
        TreeMap<Long, TicketMark> byNumber = new TreeMap<>();
        added.forEach(mark -> byNumber.put(mark.number(), mark));
        marks.forEach(mark -> byNumber.put(mark.number(), mark));
        return new NumberPage(List.copyOf(byNumber.values()));
    }

    /**
     * Find the mark of a ticket.
     *
     * @param number the ticket's number
     * @return the mark, or empty if none is on this page
     */
    public Optional<TicketMark> find(long number) {
        return marks.stream().filter(mark -> mark.number() == number).findFirst();
    }
}
