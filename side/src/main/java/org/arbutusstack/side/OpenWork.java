package org.arbutusstack.side;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.arbutusstack.model.request.RequestId;

/** Holds the work in hand and counts what runs. Used by the side's duty only. */
final class OpenWork {

    private final Map<RequestId, Work> works = new HashMap<>();

    private final EndedWork ended = new EndedWork();

    private int running;

    private boolean runsAlone;

    void add(Work work) {
        works.put(work.frame().id(), work);
    }

    /** Finds the work of a request; null if none is in hand. */
    Work find(RequestId id) {
        return works.get(id);
    }

    List<Work> all() {
        return new ArrayList<>(works.values());
    }

    boolean isEmpty() {
        return works.isEmpty();
    }

    boolean isLate(RequestId id, int attempt) {
        return ended.isLate(id, attempt);
    }

    int running() {
        return running;
    }

    /** Tells whether work runs beside which nothing else may run. */
    boolean runsAlone() {
        return runsAlone;
    }

    void dispatched(Work work) {
        running++;
        runsAlone |= work.isAlone();
    }

    void end(Work work) {
        if (work.isEnded()) {
            return;
        }
        if (work.isDispatched()) {
            running--;
        }
        runsAlone &= !work.isAlone();
        work.end();
        works.remove(work.frame().id(), work);
        ended.add(work.frame().id(), work.frame().attempt());
    }
}
