package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.kernel.Assert;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame with which an entry lends its share of a team's allotment to the pool of a side, and asks the pool for tokens.
 *
 * @param team the name of the team
 * @param entry the name of the entry, unique among all entries
 * @param sequence the number of the request, which the answer repeats; zero if no answer is needed
 * @param keeperId the process identifier in the last frame of the side; zero to lend nothing
 * @param keeperNanos the timestamp in the same frame, from which the loan counts
 * @param configVersion the version of the configuration that the numbers come from
 * @param ratePerSecond the allotment of all entries together, in units per second
 * @param burst the units that all entries together may use at once
 * @param share the part of the allotment that belongs to the entry, above 0 and at most 1
 * @param wanted the units that the entry can use now
 * @param minimum the units below which a grant is of no use, at most those wanted
 * @param maxWaitMillis the longest wait after which the entry can still use them, in milliseconds
 */
public record AllotmentRequestFrame(
        String team,
        String entry,
        int sequence,
        long keeperId,
        long keeperNanos,
        long configVersion,
        double ratePerSecond,
        double burst,
        double share,
        double wanted,
        double minimum,
        int maxWaitMillis)
        implements Frame {

    /** Check the numbers. */
    public AllotmentRequestFrame {
        Assert.isTrue(isPositive(ratePerSecond), "'ratePerSecond' must be positive but it is " + ratePerSecond);
        Assert.isTrue(isPositive(share) && share <= 1, "'share' must be above 0 and at most 1 but it is " + share);
        Assert.isTrue(burst >= 0 && Double.isFinite(burst), "'burst' must not be negative but it is " + burst);
        Assert.isTrue(wanted >= 0 && Double.isFinite(wanted), "'wanted' must not be negative but it is " + wanted);
        Assert.isTrue(
                minimum >= 0 && minimum <= wanted, "'minimum' must be within 0 and 'wanted' but it is " + minimum);
    }

    private static boolean isPositive(double value) {
        return value > 0 && Double.isFinite(value);
    }

    static AllotmentRequestFrame read(MessageUnpacker unpacker) throws IOException {
        return new AllotmentRequestFrame(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble(),
                unpacker.unpackDouble(),
                unpacker.unpackInt());
    }

    /**
     * Return whether the entry lends its share to the pool.
     *
     * @return whether the request echoes a frame of the side
     */
    public boolean isLoan() {
        return keeperId != 0;
    }

    @Override
    public FrameType type() {
        return FrameType.ALLOTMENT_REQUEST;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(team);
        packer.packString(entry);
        packer.packInt(sequence);
        packer.packLong(keeperId);
        packer.packLong(keeperNanos);
        packer.packLong(configVersion);
        packer.packDouble(ratePerSecond);
        packer.packDouble(burst);
        packer.packDouble(share);
        packer.packDouble(wanted);
        packer.packDouble(minimum);
        packer.packInt(maxWaitMillis);
    }
}
