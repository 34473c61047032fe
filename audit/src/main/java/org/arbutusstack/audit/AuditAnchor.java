package org.arbutusstack.audit;

import org.arbutusstack.kernel.Assert;

/**
 * Stands in the key-value service and says how far the chain of one run of a process reached, and with which digest.
 *
 * @param process the host's name
 * @param incarnation the name of the run of the process
 * @param index the number of the last record
 * @param chain the chain digest after it, in hexadecimal digits
 * @param atMillis when the anchor was written, in milliseconds since the epoch
 * @param closed whether the run ended with this record
 */
public record AuditAnchor(String process, String incarnation, long index, String chain, long atMillis, boolean closed) {

    /** The prefix of the anchors' keys. */
    public static final String PREFIX = "/arbutus/audit/";

    /** Checks the anchor. */
    public AuditAnchor {
        Assert.hasText(process, "process");
        Assert.hasText(incarnation, "incarnation");
        Assert.hasText(chain, "chain");
    }

    /**
     * Names the key of a run's anchor.
     *
     * @param process the host's name
     * @param incarnation the name of the run of the process
     * @return the key
     */
    public static String key(String process, String incarnation) {
        return PREFIX + process + "/" + incarnation;
    }
}
