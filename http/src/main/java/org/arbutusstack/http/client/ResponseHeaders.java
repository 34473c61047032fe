package org.arbutusstack.http.client;

/** Decoder of the values of headers. */
final class ResponseHeaders {

    private ResponseHeaders() {}

    /** Return the first whole number in a header, or a negative number if there is none. */
    static long firstNumber(String header) {
        String digits = header == null ? "" : header.replaceFirst("^\\D*(\\d{1,9}).*$", "$1");
        return digits.isEmpty() || !Character.isDigit(digits.charAt(0)) ? -1 : Long.parseLong(digits);
    }
}
