package org.snipewind.router;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.QueryStringDecoder;
import io.vavr.control.Either;
import java.util.Map;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

/** Guards against an argument that is misread without a word, and against errors that don't name the argument. */
final class ExplainRouteQueryTest {

    @Test
    void allArgumentsAreRead() {
        ExplainRouteQuery query = parse(
                        "host=h&path=/a%20b/&method=POST&header=A:%201&header=B:2&key=65535&format=json")
                .get();
        assertThat(query.json()).isTrue();
        assertThat(query.request().path()).isEqualTo("/a b/");
        assertThat(query.request().method().name()).isEqualTo("POST");
        assertThat(query.request().key()).isEqualTo(OptionalInt.of(65_535));
        assertThat(query.request().headers().get("host")).isEqualTo("h");
        assertThat(query.request().headers().get("a")).isEqualTo("1");
        assertThat(query.request().headers().get("b")).isEqualTo("2");
    }

    @Test
    void anArgumentThatCannotBeUsedIsNamed() {
        Map<String, String> argumentsByQuery = Map.ofEntries(
                Map.entry("path=/", "host"),
                Map.entry("host=&path=/", "host"),
                Map.entry("host=a%0Ab&path=/", "host"),
                Map.entry("host=h", "path"),
                Map.entry("host=h&path=x", "path"),
                Map.entry("host=h&path=/&method=G%20T", "method"),
                Map.entry("host=h&path=/&header=none", "header"),
                Map.entry("host=h&path=/&header=a%00b:1", "header"),
                Map.entry("host=h&path=/&key=65536", "key"),
                Map.entry("host=h&path=/&key=-1", "key"),
                Map.entry("host=h&path=/&key=", "key"),
                Map.entry("host=h&path=/&key=1&key=2", "key"),
                Map.entry("host=h&path=/&format=xml", "format"),
                Map.entry("host=h&path=/&pool=p", "pool"));
        argumentsByQuery.forEach(
                (query, argument) -> assertThat(parse(query).getLeft()).startsWith("argument '" + argument + "': "));
    }

    private static Either<String, ExplainRouteQuery> parse(String query) {
        return ExplainRouteQuery.parse(new QueryStringDecoder("/explain-route?" + query).parameters());
    }
}
