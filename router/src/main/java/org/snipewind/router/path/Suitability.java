package org.snipewind.router.path;

/** Whether a request can be sent to a target in service now, or why not. */
enum Suitability {
    SUITABLE("suitable"),
    PAUSING("pausing, the target asked for no requests"),
    NO_ROOM("no room in its queue"),
    NO_CONNECTION("no connection left for this instance"),
    COLD_START_RATE("cold start, rate limit reached");

    private final String description;

    Suitability(String description) {
        this.description = description;
    }

    /** Returns the reason in words for operators. */
    String description() {
        return description;
    }
}
