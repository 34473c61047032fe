package org.arbutusstack.entry.caller;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.arbutusstack.model.request.Priority;

/**
 * Parser for the urgency in the {@code Priority} header of RFC 9218, a structured-field dictionary of RFC 8941.
 * Stateless.
 *
 * <p>As required by both, multiple headers are combined into one, the last member of a name takes effect, unknown
 * members are ignored, and a header that cannot be parsed is ignored as a whole.
 */
final class PriorityHeader {

    private static final int DEFAULT_URGENCY = 3;

    private static final int MAX_URGENCY = 7;

    private static final Pattern MEMBER = Pattern.compile(
            "([a-z*][a-z0-9_.*-]*)(?:=(\\?[01]|-?[0-9]{1,12}(?:\\.[0-9]{1,3})?|[A-Za-z*][^ ,;\"]*|\"[^\"]*\"))?"
                    + "(?: *;[^,]*)?");

    private PriorityHeader() {}

    static Priority parse(List<String> headers) {
        int urgency = DEFAULT_URGENCY;
        String joined = String.join(",", headers).trim();
        if (joined.isEmpty()) {
            return Priority.ofUrgency(urgency);
        }
        for (String member : joined.split(",", -1)) {
            Matcher matcher = MEMBER.matcher(member.trim());
            if (!matcher.matches()) {
                return Priority.ofUrgency(DEFAULT_URGENCY);
            }
            if (matcher.group(1).equals("u")) {
                urgency = urgencyOf(matcher.group(2));
            }
        }
        return Priority.ofUrgency(urgency);
    }

    private static int urgencyOf(String value) {
        boolean isInteger = value != null && value.matches("-?[0-9]+");
        if (!isInteger) {
            return DEFAULT_URGENCY;
        }
        long urgency = Long.parseLong(value);
        return urgency < 0 || urgency > MAX_URGENCY ? DEFAULT_URGENCY : (int) urgency;
    }
}
