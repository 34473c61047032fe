package org.arbutusstack.audit;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * Is one link in the chain of records of one run of a process.
 *
 * @param process the host's name
 * @param incarnation the name of the run of the process
 * @param index the record's number in the run, from one
 * @param atMillis when, in milliseconds since the epoch by the host's clock
 * @param event what happened
 * @param chain the chain digest after the record, in hexadecimal digits
 */
public record AuditRecord(
        String process, String incarnation, long index, long atMillis, AuditEvent event, String chain) {

    /** Checks the record. */
    public AuditRecord {
        Assert.hasText(process, "process");
        Assert.hasText(incarnation, "incarnation");
        Assert.atLeast(index, 1, "index");
        Assert.notNull(event, "event");
        Assert.hasText(chain, "chain");
    }

    /**
     * Creates the record that follows a chain.
     *
     * @param process the host's name
     * @param incarnation the name of the run of the process
     * @param index the record's number
     * @param atMillis when, in milliseconds since the epoch
     * @param event what happened
     * @param before the chain digest before the record
     * @return the record
     */
    public static AuditRecord following(
            String process, String incarnation, long index, long atMillis, AuditEvent event, Digest before) {
        Content content = new Content(process, incarnation, index, atMillis, event);
        return new AuditRecord(process, incarnation, index, atMillis, event, content.chainAfter(before));
    }

    /**
     * Tells whether the record follows a chain and is as it was written.
     *
     * @param before the chain digest before the record
     * @return whether it does
     */
    public boolean follows(Digest before) {
        Content content = new Content(process, incarnation, index, atMillis, event);
        return content.chainAfter(before).equals(chain);
    }

    /** Holds what the chain digest covers. */
    private record Content(String process, String incarnation, long index, long atMillis, AuditEvent event) {

        String chainAfter(Digest before) {
            return before.chain(Digest.of(JsonCodec.write(this))).hex();
        }
    }
}
