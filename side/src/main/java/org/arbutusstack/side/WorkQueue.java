package org.arbutusstack.side;

import java.util.Comparator;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Orders waiting work: by priority, then by the earliest deadline. Used by the side's duty only.
 */
final class WorkQueue {

    private static final Comparator<Work> ORDER = Comparator.<Work>comparingInt(
                    work -> work.frame().priority().urgency())
            .thenComparingLong(Work::deadlineNanos)
            .thenComparing(work -> work.frame().id().toString());

    private final TreeSet<Work> waiting = new TreeSet<>(ORDER);

    private final int limit;

    WorkQueue(int limit) {
        this.limit = limit;
    }

    boolean add(Work work) {
        return waiting.size() < limit && waiting.add(work);
    }

    int size() {
        return waiting.size();
    }

    void remove(Work work) {
        waiting.remove(work);
    }

    Optional<Work> takeFirst(Predicate<Work> ready) {
        Optional<Work> first = waiting.stream().filter(ready).findFirst();
        first.ifPresent(waiting::remove);
        return first;
    }

    void removeIf(Predicate<Work> condition, Consumer<Work> removed) {
        waiting.removeIf(work -> {
            boolean matches = condition.test(work);
            if (matches) {
                removed.accept(work);
            }
            return matches;
        });
    }

    void forEach(Consumer<Work> consumer) {
        waiting.forEach(consumer);
    }
}
