package org.arbutusstack.audit;

import org.arbutusstack.kernel.Assert;

/**
 * Entry in the key-value service with the length and the digest of the audit chain of one run of a process.
 *
 * @param process the name of the host
 * @param incarnation the name of the run of the process
 * @param index the index of the last record of the chain
 * @param chain the chain digest after that record, in hexadecimal digits
 * @param atMillis the time at which the anchor was written, in milliseconds since the epoch
 * @param closed whether the run ended gracefully with this record
 */
public record AuditAnchor(String process, String incarnation, long index, String chain, long atMillis, boolean closed) {

    /** Prefix of the keys of all anchors. */
    public static final String PREFIX = "/arbutus/audit/";

    /** Reject blank names and digests. */
    public AuditAnchor {
        Assert.hasText(process, "process");
        Assert.hasText(incarnation, "incarnation");
        Assert.hasText(chain, "chain");
    }

    /**
     * Return the key of the anchor of a run.
     *
     * @param process the name of the host
     * @param incarnation the name of the run of the process
     * @return the key in the key-value service
     */
    public static String key(String process, String incarnation) {
        return PREFIX + process + "/" + incarnation;
    }
}
