package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports that a request with some content was in flight when an engine was lost, or retracts such a report.
 *
 * @param key the key of the content: the digest of a request, or a part of its prompt
 * @param incident the identifier of the loss; empty to retract all reports for the key
 * @param valid whether the report is valid; {@code false} to retract it
 * @param leftMillis how long the report is still remembered, in milliseconds
 * @param sentAgoMillis how long ago the request was sent to the engine, in milliseconds
 * @param struckAgoMillis how long ago the engine was lost, in milliseconds
 */
public record StrikeFrame(
        String key, String incident, boolean valid, long leftMillis, long sentAgoMillis, long struckAgoMillis)
        implements Frame {

    /**
     * Create a frame that retracts a report.
     *
     * @param key the key of the content
     * @param incident the identifier of the loss; empty to retract all reports for the key
     * @return the frame
     */
    public static StrikeFrame retraction(String key, String incident) {
        return new StrikeFrame(key, incident, false, 0, 0, 0);
    }

    static StrikeFrame read(MessageUnpacker unpacker) throws IOException {
        String key = unpacker.unpackString();
        String incident = unpacker.unpackString();
        boolean valid = unpacker.unpackBoolean();
        long leftMillis = unpacker.unpackLong();
        // Processes of the previous version end the frame here.
        long sentAgoMillis = unpacker.hasNext() ? unpacker.unpackLong() : 0;
        long struckAgoMillis = unpacker.hasNext() ? unpacker.unpackLong() : 0;
        return new StrikeFrame(key, incident, valid, leftMillis, sentAgoMillis, struckAgoMillis);
    }

    @Override
    public FrameType type() {
        return FrameType.STRIKE;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(key);
        packer.packString(incident);
        packer.packBoolean(valid);
        packer.packLong(leftMillis);
        packer.packLong(sentAgoMillis);
        packer.packLong(struckAgoMillis);
    }
}
