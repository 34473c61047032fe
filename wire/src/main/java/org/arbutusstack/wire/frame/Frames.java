package org.arbutusstack.wire.frame;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.arbutusstack.kernel.digest.Digest;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Utility methods that encode and decode collections and digests within frames. */
final class Frames {

    private Frames() {}

    static void packStrings(MessagePacker packer, List<String> values) throws IOException {
        packer.packArrayHeader(values.size());
        for (String value : values) {
            packer.packString(value);
        }
    }

    static List<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<String> values = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            values.add(unpacker.unpackString());
        }
        return List.copyOf(values);
    }

    static void packBlobs(MessagePacker packer, List<byte[]> values) throws IOException {
        packer.packArrayHeader(values.size());
        for (byte[] value : values) {
            packer.packBinaryHeader(value.length).writePayload(value);
        }
    }

    static List<byte[]> unpackBlobs(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackArrayHeader();
        List<byte[]> values = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            values.add(unpacker.readPayload(unpacker.unpackBinaryHeader()));
        }
        return List.copyOf(values);
    }

    static void packCounts(MessagePacker packer, Map<String, Integer> counts) throws IOException {
        packer.packMapHeader(counts.size());
        for (Map.Entry<String, Integer> entry : counts.entrySet()) {
            packer.packString(entry.getKey());
            packer.packInt(entry.getValue());
        }
    }

    static Map<String, Integer> unpackCounts(MessageUnpacker unpacker) throws IOException {
        int size = unpacker.unpackMapHeader();
        Map<String, Integer> counts = new TreeMap<>();
        for (int index = 0; index < size; index++) {
            counts.put(unpacker.unpackString(), unpacker.unpackInt());
        }
        return counts;
    }

    static void packDigest(MessagePacker packer, Digest digest) throws IOException {
        byte[] bytes = HexFormat.of().parseHex(digest.hex());
        packer.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    static Digest unpackDigest(MessageUnpacker unpacker) throws IOException {
        return new Digest(HexFormat.of().formatHex(unpacker.readPayload(unpacker.unpackBinaryHeader())));
    }
}
