package org.arbutusstack.wire.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.arbutusstack.wire.WireException;
import org.arbutusstack.wire.frame.ChallengeFrame;
import org.arbutusstack.wire.frame.Frame;
import org.arbutusstack.wire.frame.FrameCodec;
import org.arbutusstack.wire.frame.LogPullFrame;
import org.arbutusstack.wire.frame.ProofFrame;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which peers are authenticated on links. */
public class LinkAdmissionTests {

    private static final long WAIT_SECONDS = 10;

    private static final String SECRET = "the key of the fleet";

    private final BlockingQueue<String> linkEvents = new LinkedBlockingQueue<>();

    private NioLinkTransport server;

    private InetSocketAddress address;

    @BeforeMethod
    public void start() throws IOException {
        linkEvents.clear();
        server = new NioLinkTransport("server", new LinkKey(SECRET));
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
        }
        server.listen(address, new Recorder("server", linkEvents));
    }

    @AfterMethod
    public void stop() {
        server.stop();
    }

    @Test
    public void shouldCarryFramesWhenKeysAreEqual() throws InterruptedException {
        NioLinkTransport client = new NioLinkTransport("client", new LinkKey(SECRET));
        BlockingQueue<String> atClient = new LinkedBlockingQueue<>();
        Link link = client.connect(address, new Recorder("client", atClient));
        assertEquals(atClient.poll(WAIT_SECONDS, TimeUnit.SECONDS), "client open");
        assertTrue(link.send(new LogPullFrame(4)));
        assertEquals(linkEvents.poll(WAIT_SECONDS, TimeUnit.SECONDS), "server open");
        assertEquals(linkEvents.poll(WAIT_SECONDS, TimeUnit.SECONDS), "server LOG_PULL");
        client.stop();
    }

    @Test
    public void shouldCloseWithoutOpeningWhenKeysDiffer() throws InterruptedException {
        NioLinkTransport client = new NioLinkTransport("client", new LinkKey("some other key of ours"));
        BlockingQueue<String> atClient = new LinkedBlockingQueue<>();
        Link link = client.connect(address, new Recorder("client", atClient));
        assertFalse(link.send(new LogPullFrame(4)));
        assertEquals(linkEvents.poll(WAIT_SECONDS, TimeUnit.SECONDS), "server closed");
        assertEquals(atClient.poll(WAIT_SECONDS, TimeUnit.SECONDS), "client closed");
        client.stop();
    }

    @DataProvider
    public Object[][] intruders() {
        byte[] nonce = LinkKey.newNonce();
        return new Object[][] {
            {"a frame without a handshake", new Frame[] {new LogPullFrame(1)}},
            {"a proof without a challenge", new Frame[] {new ProofFrame(new byte[32])}},
            {"a made-up proof", new Frame[] {new ChallengeFrame(nonce), new ProofFrame(new byte[32])}},
            {"two challenges", new Frame[] {new ChallengeFrame(nonce), new ChallengeFrame(nonce)}},
            {"a short nonce", new Frame[] {new ChallengeFrame(new byte[0]), new ProofFrame(new byte[32])}}
        };
    }

    @Test(dataProvider = "intruders")
    public void shouldCloseWhenHandshakeIsNotPassed(String what, Frame[] frames) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            OutputStream output = socket.getOutputStream();
            for (Frame frame : frames) {
                ByteBuffer bytes = FrameCodec.encode(frame);
                output.write(bytes.array(), 0, bytes.remaining());
            }
            output.flush();
            assertEquals(linkEvents.poll(WAIT_SECONDS, TimeUnit.SECONDS), "server closed", what);
        }
    }

    @Test
    public void shouldRefuseRecordedProofWhenNonceIsNew() {
        LinkKey key = new LinkKey(SECRET);
        LinkHandshake opener = new LinkHandshake(key, LinkEnd.OPENER);
        LinkHandshake first = new LinkHandshake(key, LinkEnd.ACCEPTOR);
        Frame recorded = opener.process(first.challenge());
        assertNotNull(first.process(opener.challenge()));
        assertNull(first.process(recorded));
        assertTrue(first.isDone());
        LinkHandshake second = new LinkHandshake(key, LinkEnd.ACCEPTOR);
        second.process(opener.challenge());
        assertThrows(WireException.class, () -> second.process(recorded));
    }

    @Test
    public void shouldRefuseOwnProofWhenSentBack() {
        LinkHandshake handshake = new LinkHandshake(new LinkKey(SECRET), LinkEnd.ACCEPTOR);
        Frame ownProof = handshake.process(handshake.challenge());
        assertThrows(WireException.class, () -> handshake.process(ownProof));
    }

    /** Listener that records the events of links. */
    private record Recorder(String name, BlockingQueue<String> linkEvents) implements LinkListener {

        @Override
        public void onOpen(Link link) {
            linkEvents.add(name + " open");
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            linkEvents.add(name + " " + frame.type());
        }

        @Override
        public void onClosed(Link link) {
            linkEvents.add(name + " closed");
        }
    }
}
