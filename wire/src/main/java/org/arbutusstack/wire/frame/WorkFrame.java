package org.arbutusstack.wire.frame;

import java.io.IOException;
import org.arbutusstack.model.request.Priority;
import org.arbutusstack.model.request.RequestId;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Frame that sends a request to a side.
 *
 * @param id the identifier of the request
 * @param attempt the number of the attempt, counted from one
 * @param leftMillis the time remaining until the deadline, in milliseconds
 * @param priority the priority of the request
 * @param service the service that is requested
 * @param model the model to run; empty for a plain service
 * @param adapter the adapter to apply; empty for none
 * @param idempotent whether the request may run more than once
 * @param idempotencyKey the idempotency key of the caller; empty for none
 * @param method the HTTP method
 * @param path the path at the backend server
 * @param stream whether the answer is to be sent part by part
 * @param resumeOffset the number of units that the caller already has: events of a streamed answer
 * @param body the bytes of the body; not copied
 */
public record WorkFrame(
        RequestId id,
        int attempt,
        long leftMillis,
        Priority priority,
        String service,
        String model,
        String adapter,
        boolean idempotent,
        String idempotencyKey,
        String method,
        String path,
        boolean stream,
        long resumeOffset,
        byte[] body)
        implements Frame {

    static WorkFrame read(MessageUnpacker unpacker) throws IOException {
        return new WorkFrame(
                new RequestId(unpacker.unpackString(), unpacker.unpackLong()),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                Priority.valueOf(unpacker.unpackString()),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackBoolean(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackBoolean(),
                unpacker.unpackLong(),
                unpacker.readPayload(unpacker.unpackBinaryHeader()));
    }

    @Override
    public FrameType type() {
        return FrameType.WORK;
    }

    @Override
    public void write(MessagePacker packer) throws IOException {
        packer.packString(id.incarnation()).packLong(id.number());
        packer.packInt(attempt);
        packer.packLong(leftMillis);
        packer.packString(priority.name());
        packer.packString(service);
        packer.packString(model);
        packer.packString(adapter);
        packer.packBoolean(idempotent);
        packer.packString(idempotencyKey);
        packer.packString(method);
        packer.packString(path);
        packer.packBoolean(stream);
        packer.packLong(resumeOffset);
        packer.packBinaryHeader(body.length).writePayload(body);
    }
}
