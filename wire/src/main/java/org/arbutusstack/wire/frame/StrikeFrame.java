package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that reports that a request was in flight when an engine was lost, or retracts such a report.
 *
 * @param digest the digest of the request's content
 * @param incident the identifier of the loss; empty to retract all reports for the digest
 * @param valid whether the report is valid; {@code false} to retract it
 * @param leftMillis how long the report is still remembered, in milliseconds
 */
public record StrikeFrame(String digest, String incident, boolean valid, long leftMillis) implements Frame {

    static StrikeFrame read(MessageUnpacker unpacker) throws IOException {
        return new StrikeFrame(
                unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackBoolean(), unpacker.unpackLong());
    }

    @Override
    public FrameType type() {
        return FrameType.STRIKE;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(digest);
        packer.packString(incident);
        packer.packBoolean(valid);
        packer.packLong(leftMillis);
    }
}
