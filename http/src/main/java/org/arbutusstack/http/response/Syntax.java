package org.arbutusstack.http.response;

import java.util.BitSet;

/** Character classes of the grammar of HTTP (RFC 9110, section 5.6), for text that was decoded as ISO 8859-1. */
final class Syntax {

    private static final char DELETE = 0x7f;

    private static final int MAX_EXCERPT_CHARACTERS = 60;

    private static final BitSet TOKEN_CHARACTERS = new BitSet();

    static {
        TOKEN_CHARACTERS.set('0', '9' + 1);
        TOKEN_CHARACTERS.set('a', 'z' + 1);
        TOKEN_CHARACTERS.set('A', 'Z' + 1);
        "!#$%&'*+-.^_`|~".chars().forEach(TOKEN_CHARACTERS::set);
    }

    private Syntax() {}

    static boolean isTokenCharacter(char character) {
        return TOKEN_CHARACTERS.get(character);
    }

    static boolean isDigit(char character) {
        return character >= '0' && character <= '9';
    }

    static boolean isBlank(char character) {
        return character == ' ' || character == '\t';
    }

    /** Return whether a character may stand in the value of a field, in a quoted string or in a reason phrase. */
    static boolean isText(char character) {
        return character >= ' ' && character != DELETE || character == '\t';
    }

    /** Return whether a text is a token: one or more token characters. */
    static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(TOKEN_CHARACTERS::get);
    }

    /** Return whether a text consists of one or more decimal digits. */
    static boolean isNumber(String text) {
        return !text.isEmpty() && text.chars().allMatch(character -> isDigit((char) character));
    }

    /** Remove optional whitespace at both ends. */
    static String trim(String text) {
        int start = 0;
        int end = text.length();
        while (start < end && isBlank(text.charAt(start))) {
            start++;
        }
        while (end > start && isBlank(text.charAt(end - 1))) {
            end--;
        }
        return text.substring(start, end);
    }

    /** Quote the beginning of a text for an error message. */
    static String excerpt(String text) {
        return '\'' + text.substring(0, Math.min(text.length(), MAX_EXCERPT_CHARACTERS)) + '\'';
    }
}
