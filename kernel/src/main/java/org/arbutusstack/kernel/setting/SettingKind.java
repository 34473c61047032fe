package org.arbutusstack.kernel.setting;

import java.util.regex.Pattern;

/** Checks the text of a setting by its kind; each constant returns what is permitted when the text is not. */
public enum SettingKind {

    /** A whole number within a range. */
    NUMBER {
        @Override
        String complaint(Setting setting, String text) {
            String range = "a whole number from " + setting.minimum() + " to " + setting.maximum();
            try {
                long value = Long.parseLong(text.trim());
                boolean inside = value >= setting.minimum() && value <= setting.maximum();
                return inside ? null : range;
            } catch (NumberFormatException malformed) {
                return range;
            }
        }
    },

    /** Any text up to a length. */
    TEXT {
        @Override
        String complaint(Setting setting, String text) {
            return text.length() <= setting.maximum() ? null : "a text of at most " + setting.maximum() + " characters";
        }
    },

    /** An address of the form {@code host:port}; empty means none where the default is empty. */
    ADDRESS {
        @Override
        String complaint(Setting setting, String text) {
            boolean absent = text.isEmpty() && "".equals(setting.defaultText());
            return absent || ADDRESS_PATTERN.matcher(text).matches() ? null : "an address of the form host:port";
        }
    },

    /** A secret: given by its variable only, since command lines are open to all, and never shown. */
    SECRET {
        @Override
        String complaint(Setting setting, String text) {
            boolean fits = text.length() >= setting.minimum() && text.length() <= setting.maximum();
            return fits ? null : "a secret of " + setting.minimum() + " to " + setting.maximum() + " characters";
        }

        @Override
        boolean isFlag() {
            return false;
        }

        @Override
        String shown(String text) {
            return text.isEmpty() ? "" : "(hidden)";
        }
    },

    /** {@code true} or {@code false}. */
    FLAG {
        @Override
        String complaint(Setting setting, String text) {
            return "true".equals(text) || "false".equals(text) ? null : "true or false";
        }
    };

    private static final Pattern ADDRESS_PATTERN = Pattern.compile("[A-Za-z0-9._\\[\\]:-]+:[0-9]{1,5}");

    /**
     * Checks a text.
     *
     * @param setting the setting that the text is for
     * @param text the text
     * @return what is permitted if the text is not, or {@code null} if it is
     */
    abstract String complaint(Setting setting, String text);

    /**
     * Tells whether the setting may be given on the command line.
     *
     * @return whether it may
     */
    boolean isFlag() {
        return true;
    }

    /**
     * Writes a value for people.
     *
     * @param text the value
     * @return what may be shown of it
     */
    String shown(String text) {
        return text;
    }
}
