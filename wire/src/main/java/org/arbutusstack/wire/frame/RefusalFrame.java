package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.request.Refusal;
import org.arbutusstack.model.request.RefusalKind;
import org.arbutusstack.model.request.RefusalReason;
import org.arbutusstack.model.request.RequestId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that refuses a request.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from one
 * @param refusal the refusal: what the caller may conclude, and the reason
 */
public record RefusalFrame(RequestId id, int attempt, Refusal refusal) implements Frame {

    static RefusalFrame read(MessageUnpacker unpacker) throws IOException {
        RequestId id = new RequestId(unpacker.unpackString(), unpacker.unpackLong());
        int attempt = unpacker.unpackInt();
        RefusalKind kind = RefusalKind.valueOf(unpacker.unpackString());
        RefusalReason reason = RefusalReason.valueOf(unpacker.unpackString());
        return new RefusalFrame(id, attempt, new Refusal(kind, reason, unpacker.unpackString(), unpacker.unpackInt()));
    }

    @Override
    public FrameType type() {
        return FrameType.REFUSAL;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(id.incarnation()).packLong(id.number());
        packer.packInt(attempt);
        packer.packString(refusal.kind().name());
        packer.packString(refusal.reason().name());
        packer.packString(refusal.detail());
        packer.packInt(refusal.retryAfterSeconds());
    }
}
