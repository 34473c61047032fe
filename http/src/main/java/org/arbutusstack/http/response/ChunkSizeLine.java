package org.arbutusstack.http.response;

/** Parser of the line that begins a chunk: its size and extensions, which are checked and ignored. */
final class ChunkSizeLine {

    private static final int HEX_RADIX = 16;

    private final String line;

    private int position;

    private ChunkSizeLine(String line) {
        this.line = line;
    }

    /**
     * Parse a line.
     *
     * @return the size of the chunk in bytes
     * @throws ResponseFormatException if the line does not begin with a size, the size is larger than any body, or what
     *     follows is no list of extensions
     */
    static long parse(String line) throws ResponseFormatException {
        ChunkSizeLine parser = new ChunkSizeLine(line);
        String digits = parser.takeDigits();
        while (!parser.isAtEnd()) {
            parser.skipExtension();
        }
        try {
            return Long.parseLong(digits, HEX_RADIX);
        } catch (NumberFormatException tooLarge) {
            throw new ResponseFormatException("a chunk of the size " + Syntax.excerpt(digits));
        }
    }

    private String takeDigits() throws ResponseFormatException {
        while (!isAtEnd() && isHexDigit(line.charAt(position))) {
            position++;
        }
        require(position > 0);
        return line.substring(0, position);
    }

    private static boolean isHexDigit(char character) {
        return Syntax.isDigit(character)
                || character >= 'a' && character <= 'f'
                || character >= 'A' && character <= 'F';
    }

    /** Skip a semicolon and a name, and if an equals sign follows, a value; blanks may stand around these signs. */
    private void skipExtension() throws ResponseFormatException {
        require(skipSign(';'));
        skipToken();
        if (!skipSign('=')) {
            return;
        }
        if (!isAtEnd() && line.charAt(position) == '"') {
            skipQuotedString();
        } else {
            skipToken();
        }
    }

    /** Skip a sign and the blanks around it, if it comes next. */
    private boolean skipSign(char sign) {
        int start = position;
        skipBlanks();
        if (isAtEnd() || line.charAt(position) != sign) {
            position = start;
            return false;
        }
        position++;
        skipBlanks();
        return true;
    }

    private void skipBlanks() {
        while (!isAtEnd() && Syntax.isBlank(line.charAt(position))) {
            position++;
        }
    }

    private void skipToken() throws ResponseFormatException {
        int start = position;
        while (!isAtEnd() && Syntax.isTokenCharacter(line.charAt(position))) {
            position++;
        }
        require(position > start);
    }

    private void skipQuotedString() throws ResponseFormatException {
        position++;
        while (!isAtEnd() && line.charAt(position) != '"') {
            position += line.charAt(position) == '\\' ? 2 : 1;
        }
        require(position < line.length());
        position++;
    }

    private boolean isAtEnd() {
        return position >= line.length();
    }

    private void require(boolean conforms) throws ResponseFormatException {
        if (!conforms) {
            throw new ResponseFormatException(Syntax.excerpt(line) + " in place of the size of a chunk");
        }
    }
}
