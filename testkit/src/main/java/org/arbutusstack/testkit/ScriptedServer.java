package org.arbutusstack.testkit;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Server that answers HTTP requests with the bytes of a script, whether they are an answer or not. */
public final class ScriptedServer implements AutoCloseable {

    private static final Logger logger = LoggerFactory.getLogger(ScriptedServer.class);

    private static final String HEAD_END = "\r\n\r\n";

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)content-length: *(\\d+)");

    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final List<String> heads = Collections.synchronizedList(new ArrayList<>());

    private volatile Script script;

    /** How a connection goes on after a reply. */
    public enum Ending {
        /** The server reads the next request. */
        KEEP,
        /** The server closes the connection. */
        CLOSE,
        /** The server resets the connection. */
        RESET
    }

    /**
     * Bytes sent for one request.
     *
     * @param text the bytes, as ISO 8859-1
     * @param ending how the connection goes on
     */
    public record Reply(String text, Ending ending) {}

    /** Function that determines the reply to each request. */
    @FunctionalInterface
    public interface Script {

        /**
         * Return the reply to a request.
         *
         * @param head the head of the request
         * @param number the number of the request on its connection, counted from one
         * @return the reply
         */
        Reply reply(String head, int number);
    }

    /**
     * Start a server on a free port of loopback.
     *
     * @param script the script
     * @throws IOException if it cannot listen
     */
    public ScriptedServer(Script script) throws IOException {
        this.script = script;
        start(this::accept);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                start(() -> serve(connection));
            } catch (IOException closed) {
                logger.debug("event=scripted-server-closed detail={}", closed.getMessage());
            }
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            Ending ending = Ending.KEEP;
            for (int number = 1; ending == Ending.KEEP; number++) {
                String head = readRequest(connection.getInputStream());
                heads.add(head);
                Reply reply = script.reply(head, number);
                connection.getOutputStream().write(reply.text().getBytes(StandardCharsets.ISO_8859_1));
                connection.getOutputStream().flush();
                ending = reply.ending();
            }
            if (ending == Ending.RESET) {
                connection.setSoLinger(true, 0);
            }
        } catch (IOException ended) {
            logger.debug("event=scripted-connection-ended detail={}", ended.getMessage());
        }
    }

    private static String readRequest(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(HEAD_END) < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("Could not read a request: the connection ended");
            }
            head.append((char) next);
        }
        Matcher length = CONTENT_LENGTH.matcher(head);
        in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
        return head.toString();
    }

    /**
     * Replace the script for all further requests.
     *
     * @param next the script
     */
    public void script(Script next) {
        script = next;
    }

    /**
     * Return the requests received.
     *
     * @return their heads, in order of arrival
     */
    public List<String> heads() {
        return List.copyOf(heads);
    }

    /**
     * Return a header of a request.
     *
     * @param head the head of the request
     * @param name the name of the header
     * @return its value; empty if there is none
     */
    public static String header(String head, String name) {
        Matcher matcher =
                Pattern.compile("(?im)^" + Pattern.quote(name) + ": *(.*?)\r?$").matcher(head);
        return matcher.find() ? matcher.group(1) : "";
    }

    /**
     * Return the address that the server listens on.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
