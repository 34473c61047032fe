package org.arbutusstack.kernel.setting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests {@link SettingsParser}. */
public class SettingsParserTests {

    private static final Setting PORT = Setting.number("link-port", 1, 65_535, 7400, "port");

    private static final Setting STORE = Setting.address("store", null, "address");

    private final SettingsParser parser = new SettingsParser("tool", List.of(PORT, STORE));

    @Test
    public void shouldPreferFlagWhenVariableIsGivenToo() {
        String[] arguments = {"--store", "127.0.0.1:1", "--link-port", "5"};
        SettingsResult result = parser.parse(arguments, Map.of("ARBUTUS_LINK_PORT", "6"));
        assertEquals(((SettingsResult.Valid) result).settings().number(PORT), 5);
    }

    @Test
    public void shouldReadVariableWhenFlagIsAbsent() {
        String[] arguments = {"--store", "127.0.0.1:1"};
        SettingsResult result = parser.parse(arguments, Map.of("ARBUTUS_LINK_PORT", "6"));
        assertEquals(((SettingsResult.Valid) result).settings().number(PORT), 6);
    }

    @Test
    public void shouldListEveryMistakeWhenSeveralSettingsAreWrong() {
        String[] arguments = {"--link-port", "70000"};
        SettingsResult result = parser.parse(arguments, Map.of());
        List<String> mistakes = ((SettingsResult.Invalid) result).mistakes();
        assertEquals(mistakes.size(), 2);
        assertTrue(mistakes.get(0).contains("70000") && mistakes.get(0).contains("from 1 to 65535"));
        assertTrue(mistakes.get(1).contains("--store"));
    }

    @Test
    public void shouldReportUnknownFlagWhenOneIsGiven() {
        SettingsResult result = parser.parse(new String[] {"--nonsense"}, Map.of());
        assertTrue(((SettingsResult.Invalid) result).mistakes().get(0).contains("nonsense"));
    }
}
