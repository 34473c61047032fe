package org.arbutusstack.side;

import java.util.LinkedHashMap;
import java.util.Map;
import org.arbutusstack.model.request.RequestId;

/**
 * Bounded history of the last attempt of recently ended requests, used to detect late frames. Confined to the side's
 * event loop.
 */
final class EndedRequests {

    private static final int MAX_REMEMBERED = 4_096;

    private final Map<RequestId, Integer> lastAttempts = new LinkedHashMap<>() {

        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestId, Integer> eldest) {
            return size() > MAX_REMEMBERED;
        }
    };

    void add(RequestId id, int attempt) {
        lastAttempts.merge(id, attempt, Math::max);
    }

    /** Return whether a later attempt than the given one has ended. */
    boolean isSuperseded(RequestId id, int attempt) {
        return lastAttempts.getOrDefault(id, 0) > attempt;
    }
}
