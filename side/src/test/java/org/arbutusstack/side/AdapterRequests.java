package org.arbutusstack.side;

import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.RequestId;
import org.arbutusstack.wire.frame.WorkFrame;

/** Creates requests that need an adapter. */
final class AdapterRequests {

    private AdapterRequests() {}

    static WorkItem work(int id, String model, String adapter) {
        WorkFrame frame = new WorkFrame(
                new RequestId("entry", id),
                1,
                10_000,
                Priority.INTERACTIVE,
                "lm",
                model,
                adapter,
                true,
                "",
                "POST",
                "/v1/chat/completions",
                false,
                0,
                new byte[0]);
        return new WorkItem(frame, null, Long.MAX_VALUE);
    }
}
