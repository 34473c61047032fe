package org.arbutusstack.gateway.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.arbutusstack.gateway.allotment.KeeperLinks;
import org.arbutusstack.gateway.stream.StreamOriginMemory;
import org.arbutusstack.gateway.stream.StreamOrigins;
import org.arbutusstack.kernel.time.ManualClock;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.StreamOriginFrame;
import org.arbutusstack.wire.frame.StreamOriginRequestFrame;

/** Sides that remember the origins of streams; their answers are passed on by the test. */
final class FakeSides implements KeeperLinks {

    private final Map<String, StreamOriginMemory> memories = new TreeMap<>();

    private final Map<String, StreamOriginFrame> answers = new TreeMap<>();

    final Deque<Frame> sent = new ArrayDeque<>();

    /** The part of the sides to which there are links. */
    double linkedPart = 1;

    /** Add sides that know no stream. */
    FakeSides with(String... hosts) {
        for (String host : hosts) {
            memories.put(host, new StreamOriginMemory(new ManualClock(1)));
        }
        return this;
    }

    /** Link to the sides of others too, which keep what they know. */
    void join(FakeSides others) {
        memories.putAll(others.memories);
        linkedPart = 1;
    }

    void lose(String host) {
        memories.remove(host);
    }

    /** Pass the answers of the sides on to an entry. */
    void answer(StreamOrigins origins) {
        Map<String, StreamOriginFrame> pending = Map.copyOf(answers);
        answers.clear();
        pending.forEach(origins::received);
    }

    @Override
    public Optional<String> firstInRank(String key, Predicate<String> usable) {
        return memories.keySet().stream().filter(usable).findFirst();
    }

    @Override
    public boolean isOpen(String host) {
        return memories.containsKey(host);
    }

    @Override
    public boolean send(String host, Frame frame) {
        sent.add(frame);
        if (frame instanceof StreamOriginFrame origin) {
            memories.get(host).record(origin.requestId(), origin.version().orElseThrow());
        } else if (frame instanceof StreamOriginRequestFrame request) {
            answers.put(
                    host,
                    new StreamOriginFrame(
                            request.requestId(), memories.get(host).find(request.requestId())));
        }
        return true;
    }
}
