package org.snipewind.router.http;

/** Matchers for responses that name their request in a header. */
final class TestMatchers {

    private TestMatchers() {}

    static ResponseMatcher named(String id) {
        return (status, headers) -> {
            if (headers.getAll("Id").size() > 1) {
                return ResponseOrigin.SEVERAL_REQUESTS;
            }
            return id.equals(headers.get("Id")) ? ResponseOrigin.THIS_REQUEST : ResponseOrigin.OTHER_REQUEST;
        };
    }
}
