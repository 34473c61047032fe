package org.arbutusstack.entry.ticket;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Optional;
import org.arbutusstack.kernel.digest.Digest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link OperatorDirectory}. */
public class OperatorDirectoryTests {

    private static final String DIGEST_A = Digest.of("token of a").hex();

    private static final String DIGEST_B = Digest.of("token of b").hex();

    private final OperatorDirectory directory = OperatorDirectory.parse("a:" + DIGEST_A + ",b:" + DIGEST_B);

    @DataProvider
    public Object[][] headers() {
        return new Object[][] {
            {"Bearer token of a", "a"},
            {"Bearer token of b", "b"},
            {"Bearer token of c", null},
            {"Bearer ", null},
            {"Bearer " + DIGEST_A, null},
            {"Basic token of a", null},
            {"token of a", null},
            {"", null},
            {null, null}
        };
    }

    @Test(dataProvider = "headers")
    public void shouldAdmitOnlyKnownTokens(String header, String operator) {
        assertEquals(directory.operatorOf(header), Optional.ofNullable(operator));
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {{""}, {"a"}, {":" + DIGEST_A}, {"a:short"}, {"a:" + DIGEST_A + ",a:" + DIGEST_B}};
    }

    @Test(dataProvider = "malformed")
    public void shouldRefuseSettingWhenMalformed(String text) {
        assertThrows(IllegalArgumentException.class, () -> OperatorDirectory.parse(text));
    }
}
