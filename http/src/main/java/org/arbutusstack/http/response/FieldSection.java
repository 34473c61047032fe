package org.arbutusstack.http.response;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** Fields of a head or of a trailer (RFC 9112, section 5), added line by line. */
final class FieldSection {

    private final Map<String, String> valuesByName = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

    /**
     * Add a field.
     *
     * @throws ResponseFormatException if the line is no field; nor is a folded line, which gateways may refuse
     */
    void add(String line) throws ResponseFormatException {
        int colon = line.indexOf(':');
        if (colon < 0 || !Syntax.isToken(line.substring(0, colon))) {
            throw new ResponseFormatException(Syntax.excerpt(line) + " in place of a field");
        }
        valuesByName.merge(
                line.substring(0, colon), Syntax.trim(line.substring(colon + 1)), (first, next) -> first + ", " + next);
    }

    /** Return the fields by name without regard to case; the values of repeated fields are joined by commas. */
    Map<String, String> valuesByName() {
        return Collections.unmodifiableMap(valuesByName);
    }
}
