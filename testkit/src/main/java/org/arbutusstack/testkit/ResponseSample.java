package org.arbutusstack.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/**
 * Response to one request as a server may send it, proper or malformed by the grammar of HTTP/1.1 (RFC 9110, RFC 9112).
 *
 * @param label what is particular about the response
 * @param template the bytes as ISO 8859-1, with placeholders for what depends on the request
 * @param part the part that is malformed; {@link Part#NONE} for a proper response
 * @param endsWithConnection whether only the end of the connection marks the end of the body
 */
public record ResponseSample(String label, String template, Part part, boolean endsWithConnection) {

    /** Placeholder for the fields that identify the response to a request, each with its line end. */
    private static final String FIELDS = "{fields}";

    private static final String LENGTH = "{length}";

    private static final String HEX_LENGTH = "{hex}";

    private static final String BODY = "{body}";

    private static final String OK = "HTTP/1.1 200 OK";

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    /** Part of a response that does not conform to the grammar. */
    public enum Part {
        /** The response is proper. */
        NONE,
        /** The status line or a field, so that no part of the response can be trusted. */
        HEAD,
        /** The size of a chunk, the end of a chunk or a trailer, after a proper head. */
        FRAMING
    }

    /**
     * Fill in the placeholders.
     *
     * @param fields the fields that identify the response, each with its line end
     * @param body the body
     * @return the bytes as ISO 8859-1
     */
    public String render(String fields, String body) {
        return template.replace(FIELDS, fields)
                .replace(LENGTH, Integer.toString(body.length()))
                .replace(HEX_LENGTH, Integer.toHexString(body.length()))
                .replace(BODY, body);
    }

    /**
     * Return responses that are none by the grammar.
     *
     * @return the samples, each with one fault
     */
    public static List<ResponseSample> malformed() {
        return Stream.of(statusLines(), lengths(), codings(), names(), lines(), values(), chunks())
                .flatMap(List::stream)
                .toList();
    }

    private static ResponseSample head(String label, String template, boolean endsWithConnection) {
        return new ResponseSample(label, template, Part.HEAD, endsWithConnection);
    }

    private static ResponseSample statusLine(String line) {
        return head(
                "status line " + line, line + "\r\n" + FIELDS + "Content-Length: " + LENGTH + "\r\n\r\n" + BODY, false);
    }

    private static List<ResponseSample> statusLines() {
        return Stream.of(
                        "HTTP/1.1 000 OK",
                        "HTTP/1.1 099 OK",
                        "HTTP/1.1 600 OK",
                        "HTTP/1.1 999 OK",
                        "HTTP/1.1 1000 OK",
                        "HTTP/1.1 2000 OK",
                        "HTTP/1.1 20 OK",
                        "HTTP/1.1 2 OK",
                        "HTTP/1.1 +200 OK",
                        "HTTP/1.1 -200 OK",
                        "HTTP/1.1 0x200 OK",
                        "HTTP/1.1 20O OK",
                        "HTTP/1.1 abc OK",
                        "HTTP/1.1 200OK",
                        "HTTP/1.1 200",
                        "HTTP/1.1  200 OK",
                        "HTTP/1.1\t200 OK",
                        "HTTP/1.1 200\tOK",
                        "HTTP/1.1200 OK",
                        "HTTP/1.1 OK",
                        "HTTP/1.1 101 Switching Protocols",
                        "HTTP/1 200 OK",
                        "HTTP/1. 200 OK",
                        "HTTP/1.10 200 OK",
                        "HTTP/11 200 OK",
                        "HTTP/0.9 200 OK",
                        "HTTP/2.0 200 OK",
                        "HTTP/3.1 200 OK",
                        "http/1.1 200 OK",
                        "HTTPS/1.1 200 OK",
                        "ICY 200 OK",
                        " HTTP/1.1 200 OK",
                        "\r\nHTTP/1.1 200 OK",
                        "200 OK",
                        "HTTP/1.1 200 O\u0000K",
                        "HTTP/1.1 200 O\u0007K",
                        "HTTP/1.1 200 O\u007fK",
                        "HTTP/1.1 200 O\rK",
                        "HTTP/1.1 200 O\nK",
                        "X-Field: first")
                .map(ResponseSample::statusLine)
                .toList();
    }

    private static ResponseSample field(String label, String line) {
        return head(label, OK + "\r\n" + FIELDS + line + "\r\n\r\n" + BODY, false);
    }

    private static List<ResponseSample> lengths() {
        List<ResponseSample> samples = new ArrayList<>();
        for (String value : List.of(
                "+" + LENGTH,
                "-" + LENGTH,
                "0x" + LENGTH,
                LENGTH + "x",
                LENGTH + ".0",
                LENGTH + " " + LENGTH,
                LENGTH + ", 3",
                LENGTH + ";",
                LENGTH + ",",
                "\"" + LENGTH + "\"",
                "five",
                "",
                "\u00b2",
                "1e1",
                "99999999999999999999999999")) {
            samples.add(field("length " + value, "Content-Length: " + value));
        }
        samples.add(field("two lengths", "Content-Length: " + LENGTH + "\r\nX-Between: a\r\nContent-Length: 3"));
        samples.add(head(
                "a length of a response without content",
                "HTTP/1.1 204 No Content\r\n" + FIELDS + "Content-Length: " + LENGTH + "\r\n\r\n" + BODY,
                false));
        return samples;
    }

    private static List<ResponseSample> codings() {
        String chunks = HEX_LENGTH + "\r\n" + BODY + "\r\n0\r\n\r\n";
        List<ResponseSample> samples = new ArrayList<>();
        for (String value : List.of(
                "xchunked",
                "chunke",
                "chunkedx",
                "chun ked",
                "identity",
                "gzip",
                "none",
                "",
                "gzip, chunked",
                "chunked, gzip",
                "chunked, chunked",
                "chunked;a=b",
                "\"chunked\"",
                "chunked chunked")) {
            samples.add(head(
                    "coding " + value,
                    OK + "\r\n" + FIELDS + "Transfer-Encoding: " + value + "\r\n\r\n" + chunks,
                    true));
        }
        samples.add(head("two codings", OK + "\r\n" + FIELDS + CHUNKED + CHUNKED + "\r\n" + chunks, false));
        samples.add(head(
                "a coding and a length",
                OK + "\r\n" + FIELDS + CHUNKED + "Content-Length: " + LENGTH + "\r\n\r\n" + chunks,
                false));
        samples.add(head("a coding in version 1.0", "HTTP/1.0 200 OK\r\n" + FIELDS + CHUNKED + "\r\n" + chunks, true));
        return samples;
    }

    private static List<ResponseSample> names() {
        List<ResponseSample> samples = new ArrayList<>();
        for (String name : List.of(
                "X Note",
                "X-Note ",
                "X-Note\t",
                "X\tNote",
                "",
                " ",
                "X\u0000Note",
                "X\u0001Note",
                "X\u001bNote",
                "X\u007fNote",
                "X\u000bNote",
                "X\rNote",
                "X\nNote",
                "X(Note)",
                "X/Note",
                "X\"Note\"",
                "X@Note",
                "X[Note]",
                "X\u00e9Note")) {
            samples.add(field("name " + name, name + ": a\r\nContent-Length: " + LENGTH));
        }
        for (String name : List.of(
                "Content Length",
                "Content-Length ",
                "Content-Length\t",
                "Content\u0001Length",
                "\u0002Content-Length")) {
            samples.add(head("name of the length " + name, OK + "\r\n" + FIELDS + name + ": 3\r\n\r\n" + BODY, true));
        }
        samples.add(head(
                "name of the coding with a blank",
                OK + "\r\n" + FIELDS + "Transfer-Encoding : chunked\r\n\r\n" + HEX_LENGTH + "\r\n" + BODY
                        + "\r\n0\r\n\r\n",
                true));
        return samples;
    }

    private static List<ResponseSample> lines() {
        List<ResponseSample> samples = new ArrayList<>();
        for (String line : List.of(
                "this line is no field",
                "X-Note",
                "HTTP/1.1 200 OK",
                "=====",
                " folded: line",
                "\tfolded",
                " ",
                "\u0016\u0003\u0001",
                "X-Note; a",
                "Content-Length " + LENGTH)) {
            samples.add(field("line " + line, "X-First: a\r\n" + line + "\r\nContent-Length: " + LENGTH));
        }
        samples.add(head(
                "a first line that begins with a blank",
                OK + "\r\n X-First: a\r\n" + FIELDS + "Content-Length: " + LENGTH + "\r\n\r\n" + BODY,
                false));
        samples.add(head(
                "a line that is no field in place of the length",
                OK + "\r\n" + FIELDS + "Content-Length\r\n\r\n" + BODY,
                true));
        samples.add(head(
                "an interim response with a line that is no field",
                "HTTP/1.1 103 Early Hints\r\nno field\r\n\r\n" + OK + "\r\n" + FIELDS + "Content-Length: " + LENGTH
                        + "\r\n\r\n" + BODY,
                false));
        return samples;
    }

    private static List<ResponseSample> values() {
        List<ResponseSample> samples = new ArrayList<>();
        for (String value : List.of(
                "a\u0000b",
                "a\u0001b",
                "a\u0008b",
                "a\u000bb",
                "a\u001bb",
                "a\u007fb",
                "a\rb",
                "a\nb",
                "a\nX-More: b")) {
            samples.add(field("value " + value, "X-Note: " + value + "\r\nContent-Length: " + LENGTH));
        }
        samples.add(field("a control byte after the length", "Content-Length: " + LENGTH + "\u0000"));
        samples.add(field("a line feed without a carriage return", "X-Note: a\nContent-Length: " + LENGTH));
        return samples;
    }

    private static ResponseSample chunk(String label, String chunks) {
        return new ResponseSample(label, OK + "\r\n" + FIELDS + CHUNKED + "\r\n" + chunks, Part.FRAMING, false);
    }

    private static List<ResponseSample> chunks() {
        String end = "\r\n" + BODY + "\r\n0\r\n\r\n";
        List<ResponseSample> samples = new ArrayList<>();
        for (String size : List.of(
                "+" + HEX_LENGTH,
                "-" + HEX_LENGTH,
                "0x" + HEX_LENGTH,
                "g",
                "",
                " " + HEX_LENGTH,
                HEX_LENGTH + " ",
                HEX_LENGTH + " x",
                HEX_LENGTH + ",",
                HEX_LENGTH + ";",
                HEX_LENGTH + ";a=",
                HEX_LENGTH + ";a=\"b",
                HEX_LENGTH + ";a b",
                HEX_LENGTH + ";\u0000",
                HEX_LENGTH + "\nX",
                "10000000000000000" + HEX_LENGTH)) {
            samples.add(chunk("size of a chunk " + size, size + end));
        }
        String body = HEX_LENGTH + "\r\n" + BODY + "\r\n";
        samples.add(chunk("a chunk without its line end", HEX_LENGTH + "\r\n" + BODY + "0\r\n\r\n"));
        samples.add(chunk("a chunk that ends with a line feed", HEX_LENGTH + "\r\n" + BODY + "\n0\r\n\r\n"));
        samples.add(chunk("a chunk that is longer than its size", HEX_LENGTH + "\r\n" + BODY + "xx\r\n0\r\n\r\n"));
        samples.add(chunk("no size after a chunk", body + "bytes that are no chunk\r\n0\r\n\r\n"));
        for (String trailer :
                List.of("this line is no field", "X Note: a", "X-Note : a", "X-Note: a\u0001b", " X: a")) {
            samples.add(chunk("trailer " + trailer, body + "0\r\n" + trailer + "\r\n\r\n"));
        }
        return samples;
    }

    /**
     * Return responses that conform to the grammar, with its less common forms.
     *
     * @return the samples
     */
    public static List<ResponseSample> proper() {
        List<ResponseSample> samples = new ArrayList<>();
        String sized = FIELDS + "Content-Length: " + LENGTH + "\r\n\r\n" + BODY;
        samples.add(proper("a length", OK + "\r\n" + sized));
        samples.add(proper("no reason phrase", "HTTP/1.1 200 \r\n" + sized));
        samples.add(proper("a long reason phrase", "HTTP/1.1 200 All \t is well \u00fc, 200 times: a\r\n" + sized));
        samples.add(proper("a status that is not registered", "HTTP/1.1 299 OK\r\n" + sized));
        samples.add(proper("a later minor version", "HTTP/1.9 200 OK\r\n" + sized));
        samples.add(proper("version 1.0", "HTTP/1.0 200 OK\r\n" + sized));
        samples.add(proper("an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + OK + "\r\n" + sized));
        samples.add(proper(
                "two interim responses",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK
                        + "\r\n" + sized));
        samples.add(untilClose("the end of the connection", OK + "\r\n" + FIELDS + "\r\n" + BODY));
        samples.add(
                untilClose("the end of the connection in version 1.0", "HTTP/1.0 200 OK\r\n" + FIELDS + "\r\n" + BODY));
        for (String line : List.of(
                "Content-Length:" + LENGTH,
                "Content-Length: \t " + LENGTH + " \t ",
                "content-length: " + LENGTH,
                "Content-Length: 000" + LENGTH,
                "Content-Length: " + LENGTH + ", " + LENGTH,
                "Content-Length: " + LENGTH + "\r\nContent-Length: " + LENGTH,
                "X-Empty:\r\nContent-Length: " + LENGTH,
                "!#$%&'*+-.^_`|~09azAZ: a\r\nContent-Length: " + LENGTH,
                "X-Note: a\tb \u00e9\u00ff \"quoted\": {c}, /d\\\r\nContent-Length: " + LENGTH,
                "X-Note: a\r\nX-Note: b\r\nContent-Length: " + LENGTH,
                "Connection: close\r\nContent-Length: " + LENGTH)) {
            samples.add(proper("field " + line, OK + "\r\n" + FIELDS + line + "\r\n\r\n" + BODY));
        }
        for (String coding : List.of("chunked", "Chunked", "CHUNKED", " chunked\t", ", chunked", "chunked,")) {
            samples.add(proper(
                    "coding " + coding,
                    OK + "\r\n" + FIELDS + "Transfer-Encoding:" + coding + "\r\n\r\n" + HEX_LENGTH + "\r\n" + BODY
                            + "\r\n0\r\n\r\n"));
        }
        for (String size : List.of(
                "000" + HEX_LENGTH,
                HEX_LENGTH + ";a",
                HEX_LENGTH + ";a=b;c=\"d \\\" e\"",
                HEX_LENGTH + " ; a = b\t;\tc")) {
            samples.add(proper(
                    "size of a chunk " + size,
                    OK + "\r\n" + FIELDS + CHUNKED + "\r\n" + size + "\r\n" + BODY + "\r\n0\r\n\r\n"));
        }
        samples.add(proper(
                "trailers",
                OK + "\r\n" + FIELDS + CHUNKED + "\r\n" + HEX_LENGTH + "\r\n" + BODY
                        + "\r\n000;a=b\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n"));
        return samples;
    }

    private static ResponseSample proper(String label, String template) {
        return new ResponseSample(label, template, Part.NONE, false);
    }

    private static ResponseSample untilClose(String label, String template) {
        return new ResponseSample(label, template, Part.NONE, true);
    }

    /** Return the label with control bytes escaped. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        label.chars()
                .forEach(each -> text.append(each < ' ' || each > '~' ? String.format("\\x%02x", each) : (char) each));
        return text.toString();
    }
}
