package org.snipewind.clients.target;

/** Names and values of the headers between supervisors and targets. */
public final class TargetHeaders {

    /** Prefix of all headers of the project. */
    public static final String PREFIX = "Snipewind-";
    /** Fencing token of the supervisor. */
    public static final String TOKEN = "Snipewind-Token";
    /** Slice of the request's key. */
    public static final String SLICE = "Snipewind-Slice";
    /** Name of the organisation. */
    public static final String ORGANISATION = "Snipewind-Organisation";
    /** Id of the request. */
    public static final String REQUEST = "Snipewind-Request";
    /** Milliseconds until the deadline. */
    public static final String DEADLINE = "Snipewind-Deadline-Millis";
    /** Reason for which the target did not run the request. */
    public static final String NOT_RUN = "Snipewind-Not-Run";
    /** The target shed the request. */
    public static final String NOT_RUN_SHED = "shed";
    /** The target refused the token or the slice. */
    public static final String NOT_RUN_FENCED = "fenced";
    /** Path of grant orders. */
    public static final String GRANT_PATH = "/snipewind/grant";
    /** Path below which requests are cancelled by id. */
    public static final String REQUESTS_PATH = "/snipewind/requests/";

    private TargetHeaders() {}
}
