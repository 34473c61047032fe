package org.arbutusstack.side;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.model.request.Priority;

/**
 * Orders waiting work: by priority, then by the earliest deadline, within a bound of requests and bytes.
 *
 * <p>Every eighth piece of work is taken from the least urgent priority first, so that bulk work goes on while more
 * urgent work never ends. Used by the side's duty only.
 */
final class WorkQueue {

    /** The number of takes of which one begins with the least urgent priority. */
    static final int TAKES_PER_BULK_TURN = 8;

    private static final Comparator<Work> EARLIEST_DEADLINE = (one, other) -> {
        int byDeadline = Long.signum(one.deadlineNanos() - other.deadlineNanos());
        return byDeadline != 0
                ? byDeadline
                : one.frame().id().toString().compareTo(other.frame().id().toString());
    };

    private final Map<Priority, TreeSet<Work>> waiting = new EnumMap<>(Priority.class);

    private final List<Priority> urgentFirst = List.of(Priority.values());

    private final List<Priority> bulkFirst = new ArrayList<>(urgentFirst);

    private final int limit;

    private final long mostBytes;

    private int size;

    private long bytes;

    private long takes;

    WorkQueue(int limit, long mostBytes) {
        this.limit = (int) Assert.atLeast(limit, 1, "limit");
        this.mostBytes = Assert.atLeast(mostBytes, 1, "mostBytes");
        urgentFirst.forEach(priority -> waiting.put(priority, new TreeSet<>(EARLIEST_DEADLINE)));
        Collections.reverse(bulkFirst);
    }

    boolean add(Work work) {
        long longer = bytes + work.frame().body().length;
        if (size >= limit || longer > mostBytes || !queueOf(work).add(work)) {
            return false;
        }
        size++;
        bytes = longer;
        return true;
    }

    private TreeSet<Work> queueOf(Work work) {
        return waiting.get(work.frame().priority());
    }

    int size() {
        return size;
    }

    long bytes() {
        return bytes;
    }

    /** Counts the work that goes before a piece of work. */
    int ahead(Work work) {
        int ahead = queueOf(work).headSet(work).size();
        for (Priority priority : urgentFirst) {
            if (priority.urgency() < work.frame().priority().urgency()) {
                ahead += waiting.get(priority).size();
            }
        }
        return ahead;
    }

    /** Counts the work of the same priority that goes before a piece of work. */
    int place(Work work) {
        return queueOf(work).headSet(work).size();
    }

    void remove(Work work) {
        if (queueOf(work).remove(work)) {
            removed(work);
        }
    }

    private void removed(Work work) {
        size--;
        bytes -= work.frame().body().length;
    }

    /** Finds the work that is to run next. */
    Optional<Work> first(Predicate<Work> ready) {
        boolean bulkTurn = takes % TAKES_PER_BULK_TURN == TAKES_PER_BULK_TURN - 1;
        for (Priority priority : bulkTurn ? bulkFirst : urgentFirst) {
            for (Work work : waiting.get(priority)) {
                if (ready.test(work)) {
                    return Optional.of(work);
                }
            }
        }
        return Optional.empty();
    }

    /** Removes work that is about to run. */
    void take(Work work) {
        takes++;
        remove(work);
    }

    void removeIf(Predicate<Work> condition, Consumer<Work> consumer) {
        removeIfPlaced((work, place) -> condition.test(work), consumer);
    }

    /** Removes work that meets a condition on it and on the number of its priority that stay before it. */
    void removeIfPlaced(BiPredicate<Work, Integer> condition, Consumer<Work> consumer) {
        List<Work> matching = new ArrayList<>();
        for (TreeSet<Work> queue : waiting.values()) {
            int staying = 0;
            for (Work work : queue) {
                if (condition.test(work, staying)) {
                    matching.add(work);
                } else {
                    staying++;
                }
            }
        }
        matching.forEach(work -> {
            remove(work);
            consumer.accept(work);
        });
    }
}
