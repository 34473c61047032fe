package org.arbutusstack.side;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.model.request.RequestId;

/** Registry of the work in progress, queued or running. Confined to the side's event loop. */
final class WorkRegistry {

    private final Map<RequestId, WorkItem> workById = new HashMap<>();

    private final EndedRequests ended = new EndedRequests();

    private int running;

    private boolean exclusiveRun;

    void add(WorkItem work) {
        workById.put(work.frame().id(), work);
    }

    /** Return the work of a request, or {@code null} if none is in progress. */
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

    /** Return whether work is running that must run alone. */
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
