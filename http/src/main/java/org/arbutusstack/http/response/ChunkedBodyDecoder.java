package org.arbutusstack.http.response;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** Decoder of a chunked body and its trailer (RFC 9112, section 7.1). */
final class ChunkedBodyDecoder implements BodyDecoder {

    private final LineReader lines = new LineReader();

    private final FieldSection trailer = new FieldSection();

    private State state = State.SIZE;

    private long remainingBytes;

    /** Element of the body that is expected next. */
    private enum State {
        SIZE {
            @Override
            State decode(ChunkedBodyDecoder body, ByteBuffer bytes, ByteArrayOutputStream content)
                    throws ResponseFormatException {
                String line = body.lines.read(bytes);
                if (line == null) {
                    return this;
                }
                body.remainingBytes = ChunkSizeLine.parse(line);
                return body.remainingBytes == 0 ? TRAILER : DATA;
            }
        },
        DATA {
            @Override
            State decode(ChunkedBodyDecoder body, ByteBuffer bytes, ByteArrayOutputStream content) {
                body.remainingBytes -= BodyDecoder.move(bytes, body.remainingBytes, content);
                return body.remainingBytes == 0 ? DATA_END : this;
            }
        },
        DATA_END {
            @Override
            State decode(ChunkedBodyDecoder body, ByteBuffer bytes, ByteArrayOutputStream content)
                    throws ResponseFormatException {
                String line = body.lines.read(bytes);
                String beyondSize = line == null ? body.lines.beginning(1) : line;
                if (!beyondSize.isEmpty()) {
                    throw new ResponseFormatException(Syntax.excerpt(beyondSize) + " after a chunk of the stated size");
                }
                return line == null ? this : SIZE;
            }
        },
        TRAILER {
            @Override
            State decode(ChunkedBodyDecoder body, ByteBuffer bytes, ByteArrayOutputStream content)
                    throws ResponseFormatException {
                String line = body.lines.read(bytes);
                if (line == null) {
                    return this;
                }
                if (line.isEmpty()) {
                    return END;
                }
                body.trailer.add(line);
                return this;
            }
        },
        END {
            @Override
            State decode(ChunkedBodyDecoder body, ByteBuffer bytes, ByteArrayOutputStream content) {
                return this;
            }
        };

        /** Decode the element or a part of it; return the state after that. */
        abstract State decode(ChunkedBodyDecoder body, ByteBuffer bytes, ByteArrayOutputStream content)
                throws ResponseFormatException;
    }

    @Override
    public void decode(ByteBuffer bytes, ByteArrayOutputStream content) throws ResponseFormatException {
        while (bytes.hasRemaining() && !isComplete()) {
            state = state.decode(this, bytes, content);
        }
    }

    @Override
    public boolean isComplete() {
        return state == State.END;
    }

    @Override
    public String describeRest() {
        return "the last chunk";
    }
}
