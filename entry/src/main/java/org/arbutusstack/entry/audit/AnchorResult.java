package org.arbutusstack.entry.audit;

import java.util.List;
import org.arbutusstack.audit.AuditAnchor;

/** Tells what became of reading anchors. */
public sealed interface AnchorResult {

    /**
     * The anchors were read.
     *
     * @param anchors the anchors
     */
    record Found(List<AuditAnchor> anchors) implements AnchorResult {}

    /**
     * The anchors could not be read.
     *
     * @param detail one sentence for people
     */
    record Unavailable(String detail) implements AnchorResult {}
}
