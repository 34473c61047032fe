package org.arbutusstack.entry.audit;

import java.util.List;
import org.arbutusstack.audit.AuditAnchor;

/** Result of reading audit anchors. */
public sealed interface AnchorResult {

    /**
     * The anchors have been read.
     *
     * @param anchors the anchors of all incarnations of the host
     */
    record Found(List<AuditAnchor> anchors) implements AnchorResult {}

    /**
     * The anchors could not be read.
     *
     * @param detail the reason, as one sentence for operators
     */
    record Unavailable(String detail) implements AnchorResult {}
}
