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
import org.arbutusstack.kernel.ring.IsolatedSteps;
import org.arbutusstack.model.request.Priority;

/**
 * Queue of waiting work, ordered by priority and then by earliest deadline, and bounded by a number of requests and of
 * bytes.
 *
 * <p>One in {@value #DEQUEUES_PER_BULK_TURN} items is taken from the lowest priority first, so that bulk work makes
 * progress under a constant load of higher priority. Confined to the side's event loop.
 */
final class WorkQueue {

    /** The number of dequeued items of which one is taken from the lowest priority first. */
    static final int DEQUEUES_PER_BULK_TURN = 8;

    private static final Comparator<WorkItem> EARLIEST_DEADLINE = (one, other) -> {
        int byDeadline = Long.signum(one.deadlineNanos() - other.deadlineNanos());
        return byDeadline != 0
                ? byDeadline
                : one.frame().id().toString().compareTo(other.frame().id().toString());
    };

    private final Map<Priority, TreeSet<WorkItem>> waitingByPriority = new EnumMap<>(Priority.class);

    private final List<Priority> highestFirst = List.of(Priority.values());

    private final List<Priority> lowestFirst = new ArrayList<>(highestFirst);

    private final int limit;

    private final long maxBytes;

    private int size;

    private long bytes;

    private long dequeues;

    WorkQueue(int limit, long maxBytes) {
        this.limit = (int) Assert.atLeast(limit, 1, "limit");
        this.maxBytes = Assert.atLeast(maxBytes, 1, "maxBytes");
        highestFirst.forEach(priority -> waitingByPriority.put(priority, new TreeSet<>(EARLIEST_DEADLINE)));
        Collections.reverse(lowestFirst);
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

    /** Return the number of queued items that run before the given work. */
    int countAhead(WorkItem work) {
        int ahead = queueOf(work).headSet(work).size();
        for (Priority priority : highestFirst) {
            if (priority.urgency() < work.frame().priority().urgency()) {
                ahead += waitingByPriority.get(priority).size();
            }
        }
        return ahead;
    }

    /** Return the number of queued items of the same priority that run before the given work. */
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

    /** Return the next work that is ready to run, without removing it. */
    Optional<WorkItem> next(Predicate<WorkItem> ready) {
        boolean bulkTurn = dequeues % DEQUEUES_PER_BULK_TURN == DEQUEUES_PER_BULK_TURN - 1;
        for (Priority priority : bulkTurn ? lowestFirst : highestFirst) {
            for (WorkItem work : waitingByPriority.get(priority)) {
                if (ready.test(work)) {
                    return Optional.of(work);
                }
            }
        }
        return Optional.empty();
    }

    /** Remove work that is about to run, and count it for the bulk turn. */
    void dequeue(WorkItem work) {
        dequeues++;
        remove(work);
    }

    void removeIf(Predicate<WorkItem> condition, Consumer<WorkItem> consumer) {
        removeIfAtPosition((work, position) -> condition.test(work), consumer);
    }

    /**
     * Remove the work that meets a condition on the item and on the number of items of its priority that remain before
     * it.
     */
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
        IsolatedSteps.forEach("work-queue", matching, work -> {
            remove(work);
            consumer.accept(work);
        });
    }
}
