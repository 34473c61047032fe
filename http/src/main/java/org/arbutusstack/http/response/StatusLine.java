package org.arbutusstack.http.response;

/**
 * Status line of a response (RFC 9112, section 4) of a 1.x version.
 *
 * @param minorVersion the minor version
 * @param status the status, from 100 to 599
 */
record StatusLine(int minorVersion, int status) {

    /** Form of the line up to its reason phrase: {@code d} stands for a digit, {@code c} for the class of a status. */
    private static final String FORM = "HTTP/1.d cdd ";

    /** The number of characters at the beginning of a line that decide whether it is a status line. */
    static final int MAX_FORM_CHARACTERS = FORM.length();

    private static final int MINOR_VERSION_INDEX = FORM.indexOf('d');

    private static final int STATUS_INDEX = FORM.indexOf('c');

    private static final int STATUS_DIGITS = 3;

    /** Parse a line whose reason phrase, which may be empty, holds no control character. */
    static StatusLine parse(String line) throws ResponseFormatException {
        requireBeginning(line);
        if (line.length() < FORM.length()) {
            throw new ResponseFormatException("the incomplete status line " + Syntax.excerpt(line));
        }
        return new StatusLine(
                line.charAt(MINOR_VERSION_INDEX) - '0',
                Integer.parseInt(line.substring(STATUS_INDEX, STATUS_INDEX + STATUS_DIGITS)));
    }

    /** Check the part of a line that was read, so that a server that sends no line end is found out at once. */
    static void requireBeginning(String line) throws ResponseFormatException {
        for (int index = 0; index < Math.min(line.length(), FORM.length()); index++) {
            if (!matches(FORM.charAt(index), line.charAt(index))) {
                throw new ResponseFormatException(Syntax.excerpt(line) + " in place of a status line");
            }
        }
    }

    private static boolean matches(char form, char character) {
        return switch (form) {
            case 'd' -> Syntax.isDigit(character);
            // Statuses outside of the five classes are invalid (RFC 9110, section 15).
            case 'c' -> character >= '1' && character <= '5';
            default -> character == form;
        };
    }
}
