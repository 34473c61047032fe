package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.arbutusstack.kernel.Assert;
import org.arbutusstack.wire.WireException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Turns frames into bytes and back: four bytes of length, then the type's code and the fields in MessagePack.
 *
 * <p>Stateless; safe for use by any thread.
 *
 * @see Frame
 */
public final class FrameCodec {

    /** The bytes of the length that stands before each frame. */
    public static final int LENGTH_BYTES = 4;

    /** The longest frame that is sent or taken, in bytes. */
    public static final int LONGEST_FRAME_BYTES = 4 * 1_024 * 1_024;

    private FrameCodec() {}

    /**
     * Writes a frame with its length.
     *
     * @param frame the frame
     * @return the bytes, ready to be sent
     * @throws WireException if the frame is too long
     */
    public static ByteBuffer encode(Frame frame) {
        Assert.notNull(frame, "frame");
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(frame.type().code());
            frame.write(packer);
            byte[] payload = packer.toByteArray();
            if (payload.length > LONGEST_FRAME_BYTES) {
                throw new WireException("Could not send " + frame.type() + ": it has " + payload.length + " bytes");
            }
            ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + payload.length);
            return buffer.putInt(payload.length).put(payload).flip();
        } catch (IOException failure) {
            throw new WireException("Could not write " + frame.type(), failure);
        }
    }

    /**
     * Reads a frame without its length.
     *
     * @param payload the bytes of exactly one frame
     * @return the frame
     * @throws WireException if the type is unknown or a field is missing or malformed
     */
    public static Frame decode(byte[] payload) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            int code = unpacker.unpackInt();
            FrameType type = FrameType.ofCode(code)
                    .orElseThrow(() -> new WireException("Could not read a frame: its type " + code + " is unknown"));
            return type.read(unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException malformed) {
            throw new WireException("Could not read a frame of " + payload.length + " bytes", malformed);
        }
    }
}
