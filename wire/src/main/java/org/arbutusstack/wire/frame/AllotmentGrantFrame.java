package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.kernel.Assert;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that answers an {@link AllotmentRequestFrame}, or announces to all entries that a team uses its allotment, so
 * that those without requests of the team lend their shares too.
 *
 * @param team the name of the team
 * @param sequence the number of the request that is answered; zero for an announcement
 * @param keeperId the identifier of the side's process, never zero
 * @param keeperNanos a timestamp of the side, which the next request echoes
 * @param tokens the units granted
 * @param waitMillis the time until the pool has more for the entry, in milliseconds; zero if it need not wait
 * @param reserved the units that are kept for the entry at that time
 */
public record AllotmentGrantFrame(
        String team, int sequence, long keeperId, long keeperNanos, double tokens, int waitMillis, double reserved)
        implements Frame {

    /** Check the numbers. */
    public AllotmentGrantFrame {
        Assert.isTrue(tokens >= 0 && Double.isFinite(tokens), "'tokens' must not be negative but it is " + tokens);
        Assert.isTrue(reserved >= 0, "'reserved' must not be negative but it is " + reserved);
        Assert.atLeast(waitMillis, 0, "waitMillis");
    }

    static AllotmentGrantFrame read(MessageUnpacker unpacker) throws IOException {
        return new AllotmentGrantFrame(
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackDouble(),
                unpacker.unpackInt(),
                unpacker.unpackDouble());
    }

    /**
     * Return whether the frame was sent without a request.
     *
     * @return whether it announces that the team uses its allotment
     */
    public boolean isAnnouncement() {
        return sequence == 0;
    }

    @Override
    public FrameType type() {
        return FrameType.ALLOTMENT_GRANT;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(team);
        packer.packInt(sequence);
        packer.packLong(keeperId);
        packer.packLong(keeperNanos);
        packer.packDouble(tokens);
        packer.packInt(waitMillis);
        packer.packDouble(reserved);
    }
}
