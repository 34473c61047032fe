package org.arbutusstack.entry.caller;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.arbutusstack.model.request.Priority;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests for {@link PriorityHeader}. */
public class PriorityHeaderTests {

    @DataProvider
    Object[][] headers() {
        return new Object[][] {
            {List.of(), Priority.NORMAL},
            {List.of(""), Priority.NORMAL},
            {List.of("u=1"), Priority.INTERACTIVE},
            {List.of("i, u=6"), Priority.BULK},
            {List.of("u=0,i=?1"), Priority.INTERACTIVE},
            {List.of("u=6;a=b, i"), Priority.BULK},
            {List.of("u=6", "u=1"), Priority.INTERACTIVE},
            {List.of("foo=\"x\", u=7"), Priority.BULK},
            {List.of("u=8"), Priority.NORMAL},
            {List.of("u=-1"), Priority.NORMAL},
            {List.of("u=1.5"), Priority.NORMAL},
            {List.of("u=a"), Priority.NORMAL},
            {List.of("u"), Priority.NORMAL},
            {List.of("u=1,,i"), Priority.NORMAL},
            {List.of("U=1"), Priority.NORMAL},
            {List.of("u=1 x"), Priority.NORMAL},
            {List.of("u=999999999999"), Priority.NORMAL},
            {List.of("u=99999999999999999999999"), Priority.NORMAL},
        };
    }

    @Test(dataProvider = "headers")
    public void shouldReadUrgencyWhenHeaderIsGiven(List<String> headers, Priority expected) {
        assertEquals(PriorityHeader.parse(headers), expected);
    }
}
