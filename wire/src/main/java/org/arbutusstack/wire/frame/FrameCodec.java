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
 * Codec for frames: a length of four bytes, then the code of the type and the fields in MessagePack.
 *
 * <p>Stateless and thread-safe.
 *
 * @see Frame
 */
public final class FrameCodec {

    /** The size of the length field before each frame, in bytes. */
    public static final int LENGTH_BYTES = 4;

    /** The maximum size of a frame without its length field, in bytes. */
    public static final int MAX_FRAME_BYTES = 4 * 1_024 * 1_024;

    private FrameCodec() {}

    /**
     * Encode a frame with its length field.
     *
     * @param frame the frame to encode
     * @return the encoded bytes, ready to be read from the buffer
     * @throws WireException if the frame is longer than {@link #MAX_FRAME_BYTES}
     */
    public static ByteBuffer encode(Frame frame) {
        Assert.notNull(frame, "frame");
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(frame.type().code());
            frame.write(packer);
            byte[] payload = packer.toByteArray();
            if (payload.length > MAX_FRAME_BYTES) {
                throw new WireException("Could not send " + frame.type() + ": it has " + payload.length + " bytes");
            }
            ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + payload.length);
            return buffer.putInt(payload.length).put(payload).flip();
        } catch (IOException failure) {
            throw new WireException("Could not write " + frame.type(), failure);
        }
    }

    /**
     * Decode a frame without its length field.
     *
     * @param payload the bytes of exactly one frame, without the length field
     * @return the frame
     * @throws WireException if the type is unknown or a field is missing or malformed
     */
    public static Frame decode(byte[] payload) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            int code = unpacker.unpackInt();
            FrameType type = FrameType.fromCode(code)
                    .orElseThrow(() -> new WireException("Could not read a frame: its type " + code + " is unknown"));
            return type.read(unpacker);
        } catch (IOException | MessagePackException | IllegalArgumentException malformed) {
            throw new WireException("Could not read a frame of " + payload.length + " bytes", malformed);
        }
    }
}
