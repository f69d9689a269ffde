package org.snipewind.daemon.http;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import org.junit.jupiter.api.Test;

/** Guards against heads of many tiny fields, each of which takes a hundred times its bytes. */
final class FramingHeadersTest {

    private static final int MANY = 2_000;
    private static final int ORDINARY = 200;

    @Test
    void tinyFieldsAreLimitedByTheMemoryThatTheyTake() {
        FramingHeaders headers = new FramingHeaders();
        for (int field = 0; field < ORDINARY; field++) {
            headers.add("X-Field", "value");
        }
        assertThat(headers.size()).isEqualTo(ORDINARY);
        assertThrows(TooLongHttpHeaderException.class, () -> {
            for (int field = 0; field < MANY; field++) {
                headers.add("a", "");
            }
        });
    }
}
