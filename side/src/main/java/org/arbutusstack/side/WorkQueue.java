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
    static final int DEQUEUES_PER_BULK_TURN = 8;

    private static final Comparator<WorkItem> EARLIEST_DEADLINE = (one, other) -> {
        int byDeadline = Long.signum(one.deadlineNanos() - other.deadlineNanos());
        return byDeadline != 0
                ? byDeadline
                : one.frame().id().toString().compareTo(other.frame().id().toString());
    };

    private final Map<Priority, TreeSet<WorkItem>> waitingByPriority = new EnumMap<>(Priority.class);

    private final List<Priority> urgentFirst = List.of(Priority.values());

    private final List<Priority> bulkFirst = new ArrayList<>(urgentFirst);

    private final int limit;

    private final long maxBytes;

    private int size;

    private long bytes;

    private long dequeues;

    WorkQueue(int limit, long maxBytes) {
        this.limit = (int) Assert.atLeast(limit, 1, "limit");
        this.maxBytes = Assert.atLeast(maxBytes, 1, "mostBytes");
        urgentFirst.forEach(priority -> waitingByPriority.put(priority, new TreeSet<>(EARLIEST_DEADLINE)));
        Collections.reverse(bulkFirst);
    }

    boolean add(WorkItem work) {
        long newBytes = bytes + work.frame().body().length;
        if (size >= limit || newBytes > maxBytes || !queueOf(work).add(work)) {
            return false;
        }
        size++;
        bytes = newBytes;
        return true;
    }

    private TreeSet<WorkItem> queueOf(WorkItem work) {
        return waitingByPriority.get(work.frame().priority());
    }

    int size() {
        return size;
    }

    long bytes() {
        return bytes;
    }

    /** Counts the work that goes before a piece of work. */
    int countAhead(WorkItem work) {
        int ahead = queueOf(work).headSet(work).size();
        for (Priority priority : urgentFirst) {
            if (priority.urgency() < work.frame().priority().urgency()) {
                ahead += waitingByPriority.get(priority).size();
            }
        }
        return ahead;
    }

    /** Counts the work of the same priority that goes before a piece of work. */
    int position(WorkItem work) {
        return queueOf(work).headSet(work).size();
    }

    void remove(WorkItem work) {
        if (queueOf(work).remove(work)) {
            removed(work);
        }
    }

    private void removed(WorkItem work) {
        size--;
        bytes -= work.frame().body().length;
    }

    /** Finds the work that is to run next. */
    Optional<WorkItem> next(Predicate<WorkItem> ready) {
        boolean bulkTurn = dequeues % DEQUEUES_PER_BULK_TURN == DEQUEUES_PER_BULK_TURN - 1;
        for (Priority priority : bulkTurn ? bulkFirst : urgentFirst) {
            for (WorkItem work : waitingByPriority.get(priority)) {
                if (ready.test(work)) {
                    return Optional.of(work);
                }
            }
        }
        return Optional.empty();
    }

    /** Removes work that is about to run. */
    void dequeue(WorkItem work) {
        dequeues++;
        remove(work);
    }

    void removeIf(Predicate<WorkItem> condition, Consumer<WorkItem> consumer) {
        removeIfAtPosition((work, position) -> condition.test(work), consumer);
    }

    /** Removes work that meets a condition on it and on the number of its priority that stay before it. */
    void removeIfAtPosition(BiPredicate<WorkItem, Integer> condition, Consumer<WorkItem> consumer) {
        List<WorkItem> matching = new ArrayList<>();
        for (TreeSet<WorkItem> queue : waitingByPriority.values()) {
            int remaining = 0;
            for (WorkItem work : queue) {
                if (condition.test(work, remaining)) {
                    matching.add(work);
                } else {
                    remaining++;
                }
            }
        }
        matching.forEach(work -> {
            remove(work);
            consumer.accept(work);
        });
    }
}
