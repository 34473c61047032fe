package org.arbutusstack.http.client;

import io.undertow.client.ClientExchange;
import io.undertow.util.HeaderValues;
import java.util.Map;
import java.util.TreeMap;

/** Decoder of the headers of a response. */
final class ResponseHeaders {

    private ResponseHeaders() {}

    /** Collect the headers by name without regard to case; the values of repeated headers are joined by commas. */
    static Map<String, String> of(ClientExchange exchange) {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (HeaderValues values : exchange.getResponse().getResponseHeaders()) {
            headers.put(values.getHeaderName().toString(), String.join(", ", values));
        }
        return headers;
    }

    /** Return the first whole number in a header, or a negative number if there is none. */
    static long firstNumber(String header) {
        String digits = header == null ? "" : header.replaceFirst("^\\D*(\\d{1,9}).*$", "$1");
        return digits.isEmpty() || !Character.isDigit(digits.charAt(0)) ? -1 : Long.parseLong(digits);
    }
}
