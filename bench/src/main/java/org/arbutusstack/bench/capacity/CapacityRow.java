package org.arbutusstack.bench.capacity;

import java.util.Locale;

/**
 * Use of one resource by a role at the planned size, compared with its limit.
 *
 * @param role the role or service
 * @param what the resource, with its unit
 * @param formula the fitted line, as intercept, slope and size
 * @param value the use at the planned size
 * @param limit the upper limit; infinite if there is none
 * @param breaksAt a text that gives the size at which the limit is reached, or says that any size exceeds it
 */
record CapacityRow(String role, String what, String formula, double value, double limit, String breaksAt) {

    boolean exceedsLimit() {
        return value > limit;
    }

    /** Return the row in the format of a Markdown table. */
    String markdown() {
        String verdict = Double.isInfinite(limit)
                ? "no limit"
                : exceedsLimit()
                        ? String.format(Locale.ROOT, "**%.1f times the limit**; %s", value / limit, breaksAt)
                        : String.format(Locale.ROOT, "%.0f%% of the limit", 100 * value / limit);
        return String.format(Locale.ROOT, "| %s | %s | %s | %.4g | %s |", role, what, formula, value, verdict);
    }
}
