package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Tells that a request was in flight when an engine was lost, or takes that back.
 *
 * @param digest the digest of the request's content
 * @param incident the loss; empty to take back all of the digest
 * @param valid {@code false} if it is taken back
 * @param leftMillis how long it is remembered from now, in milliseconds
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
