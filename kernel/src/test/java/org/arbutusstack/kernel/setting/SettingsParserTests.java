package org.arbutusstack.kernel.setting;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
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

    @DataProvider
    public Object[][] switches() {
        return new Object[][] {
            {new String[] {}, Map.of(), false},
            {new String[] {"--json"}, Map.of(), true},
            {new String[] {"--json", "status"}, Map.of(), true},
            {new String[] {}, Map.of("ARBUTUS_JSON", "true"), true},
            {new String[] {"--no-json"}, Map.of("ARBUTUS_JSON", "true"), false}
        };
    }

    @Test(dataProvider = "switches")
    public void shouldReadSwitchWithoutArgument(String[] arguments, Map<String, String> variables, boolean on) {
        Setting json = Setting.flag("json", false, "switch");
        SettingsResult result = new SettingsParser("tool", List.of(json)).parse(arguments, variables);
        assertEquals(((SettingsResult.Valid) result).settings().flag(json), on);
    }

    @Test
    public void shouldTakeSecretFromVariableOnlyAndHideItWhenWrong() {
        SettingsParser secrets = new SettingsParser("tool", List.of(Setting.secret("key", 16, null, "key")));
        assertTrue(
                secrets.parse(new String[] {"--key", "0123456789abcdef"}, Map.of()) instanceof SettingsResult.Invalid);
        SettingsResult result = secrets.parse(new String[] {}, Map.of("ARBUTUS_KEY", "too short"));
        String mistake = ((SettingsResult.Invalid) result).mistakes().get(0);
        assertTrue(!mistake.contains("too short") && mistake.contains("16"), mistake);
    }

    @Test
    public void shouldReportUnknownFlagWhenOneIsGiven() {
        SettingsResult result = parser.parse(new String[] {"--nonsense"}, Map.of());
        assertTrue(((SettingsResult.Invalid) result).mistakes().get(0).contains("nonsense"));
    }
}
