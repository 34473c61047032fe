package org.arbutusstack.audit;

import org.arbutusstack.kernel.Assert;
import org.arbutusstack.kernel.digest.Digest;
import org.arbutusstack.model.JsonCodec;

/**
 * Audit record: an event with its position in the hash chain of one run of a process.
 *
 * @param process the name of the host
 * @param incarnation the name of the run of the process
 * @param index the index of the record in the run, starting at one
 * @param atMillis the time of the record by the host's clock, in milliseconds since the epoch
 * @param event the recorded event
 * @param chain the chain digest after the record, in hexadecimal digits
 */
public record AuditRecord(
        String process, String incarnation, long index, long atMillis, AuditEvent event, String chain) {

    /** Reject blank names and digests, a missing event and an index below one. */
    public AuditRecord {
        Assert.hasText(process, "process");
        Assert.hasText(incarnation, "incarnation");
        Assert.atLeast(index, 1, "index");
        Assert.notNull(event, "event");
        Assert.hasText(chain, "chain");
    }

    /**
     * Create the next record of a chain and compute its chain digest.
     *
     * @param process the name of the host
     * @param incarnation the name of the run of the process
     * @param index the index of the record in the run
     * @param atMillis the time of the record, in milliseconds since the epoch
     * @param event the event to record
     * @param before the chain digest of the previous record; {@link Digest#ZERO} for the first record
     * @return the record
     */
    public static AuditRecord following(
            String process, String incarnation, long index, long atMillis, AuditEvent event, Digest before) {
        Content content = new Content(process, incarnation, index, atMillis, event);
        return new AuditRecord(process, incarnation, index, atMillis, event, content.chainAfter(before));
    }

    /**
     * Return whether the chain digest of this record matches its content and the digest of the previous record.
     *
     * @param before the chain digest of the previous record; {@link Digest#ZERO} for the first record
     * @return whether the digests match
     */
    public boolean follows(Digest before) {
        Content content = new Content(process, incarnation, index, atMillis, event);
        return content.chainAfter(before).equals(chain);
    }

    /** Components of a record that the chain digest covers. */
    private record Content(String process, String incarnation, long index, long atMillis, AuditEvent event) {

        String chainAfter(Digest before) {
            return before.chain(Digest.of(JsonCodec.write(this))).hex();
        }
    }
}
