package org.arbutusstack.kernel.setting;

import java.util.regex.Pattern;

/** Kinds of settings, each with its validation rule. */
public enum SettingKind {

    /** Whole number within a range. */
    NUMBER {
        @Override
        String findViolation(Setting setting, String text) {
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

    /** Text up to a maximum length. */
    TEXT {
        @Override
        String findViolation(Setting setting, String text) {
            return text.length() <= setting.maximum() ? null : "a text of at most " + setting.maximum() + " characters";
        }
    },

    /**
     * Address of the form {@code host:port}; an empty text means no address and is valid only if the default is empty.
     */
    ADDRESS {
        @Override
        String findViolation(Setting setting, String text) {
            boolean absent = text.isEmpty() && "".equals(setting.defaultText());
            return absent || ADDRESS_PATTERN.matcher(text).matches() ? null : "an address of the form host:port";
        }
    },

    /**
     * Secret that is never displayed and is read from its environment variable only, since other users of the machine
     * can read command lines.
     */
    SECRET {
        @Override
        String findViolation(Setting setting, String text) {
            boolean permitted = text.length() >= setting.minimum() && text.length() <= setting.maximum();
            return permitted ? null : "a secret of " + setting.minimum() + " to " + setting.maximum() + " characters";
        }

        @Override
        boolean isFlag() {
            return false;
        }

        @Override
        String toDisplayText(String text) {
            return text.isEmpty() ? "" : "(hidden)";
        }
    },

    /** {@code true} or {@code false}. */
    FLAG {
        @Override
        String findViolation(Setting setting, String text) {
            return "true".equals(text) || "false".equals(text) ? null : "true or false";
        }
    };

    private static final Pattern ADDRESS_PATTERN = Pattern.compile("[A-Za-z0-9._\\[\\]:-]+:[0-9]{1,5}");

    /**
     * Check the text of a setting.
     *
     * @param setting the setting to which the text belongs
     * @param text the text to check
     * @return a description of the permitted values if the text is invalid, otherwise {@code null}
     */
    abstract String findViolation(Setting setting, String text);

    /**
     * Return whether the setting may be given on the command line.
     *
     * @return {@code true} if the setting has a flag, {@code false} if it has an environment variable only
     */
    boolean isFlag() {
        return true;
    }

    /**
     * Return the text to display for a value, with secrets masked.
     *
     * @param text the value of the setting
     * @return the text to display
     */
    String toDisplayText(String text) {
        return text;
    }
}
