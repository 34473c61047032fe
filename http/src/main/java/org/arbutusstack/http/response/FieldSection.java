package org.arbutusstack.http.response;

import java.util.Collections;
import java.util.Map;
import java.util.StringJoiner;
import java.util.TreeMap;

/** Fields of a head or of a trailer (RFC 9112, section 5), added line by line. */
final class FieldSection {

    private final Map<String, StringJoiner> valuesByName = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

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
        valuesByName
                .computeIfAbsent(line.substring(0, colon), name -> new StringJoiner(", "))
                .add(Syntax.trim(line.substring(colon + 1)));
    }

    /** Return the fields by name without regard to case; the values of repeated fields are joined by commas. */
    Map<String, String> toMap() {
        Map<String, String> joined = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        valuesByName.forEach((name, values) -> joined.put(name, values.toString()));
        return Collections.unmodifiableMap(joined);
    }
}
