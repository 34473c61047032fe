package org.arbutusstack.side;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.model.request.RequestId;

/** Holds the work in hand and counts what runs. Used by the side's duty only. */
final class WorkRegistry {

    private final Map<RequestId, WorkItem> workById = new HashMap<>();

    private final EndedRequests ended = new EndedRequests();

    private int running;

    private boolean exclusiveRun;

    void add(WorkItem work) {
        workById.put(work.frame().id(), work);
    }

    /** Finds the work of a request; null if none is in hand. */
    WorkItem find(RequestId id) {
        return workById.get(id);
    }

    List<WorkItem> all() {
        return new ArrayList<>(workById.values());
    }

    boolean isEmpty() {
        return workById.isEmpty();
    }

    boolean isSuperseded(RequestId id, int attempt) {
        return ended.isSuperseded(id, attempt);
    }

    int running() {
        return running;
    }

    /** Tells whether work runs beside which nothing else may run. */
    boolean hasExclusiveRun() {
        return exclusiveRun;
    }

    void markDispatched(WorkItem work) {
        running++;
        exclusiveRun |= work.isExclusive();
    }

    void end(WorkItem work) {
        if (work.isEnded()) {
            return;
        }
        if (work.isDispatched()) {
            running--;
        }
        exclusiveRun &= !work.isExclusive();
        work.end();
        workById.remove(work.frame().id(), work);
        ended.add(work.frame().id(), work.frame().attempt());
    }
}
