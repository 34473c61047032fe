package org.arbutusstack.bench.capacity;

import java.util.Locale;

/**
 * States what a role uses of one thing at the size to design for.
 *
 * @param role the role
 * @param what what it uses, with the unit
 * @param formula how it follows from the slopes
 * @param value the value at that size
 * @param limit what it may use; infinite if there is no limit
 * @param breaksAt the size at which the limit is reached, with its unit; empty if it is not reached
 */
record CapacityRow(String role, String what, String formula, double value, double limit, String breaksAt) {

    boolean breaks() {
        return value > limit;
    }

    /** Writes the row for a table in Markdown. */
    String markdown() {
        String verdict = Double.isInfinite(limit)
                ? "no limit"
                : breaks()
                        ? String.format(Locale.ROOT, "**%.1f times the limit**; %s", value / limit, breaksAt)
                        : String.format(Locale.ROOT, "%.0f%% of the limit", 100 * value / limit);
        return String.format(Locale.ROOT, "| %s | %s | %s | %.4g | %s |", role, what, formula, value, verdict);
    }
}
