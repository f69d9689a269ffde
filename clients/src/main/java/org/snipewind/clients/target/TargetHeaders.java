package org.snipewind.clients.target;

/** Header names, header values and paths of the HTTP requests between supervisors and targets. */
public final class TargetHeaders {

    /** Prefix of the names of all headers that this project defines. */
    public static final String PREFIX = "Snipewind-";
    /** Fencing token of the supervisor. */
    public static final String TOKEN = "Snipewind-Token";
    /** Slice of the request's key. */
    public static final String SLICE = "Snipewind-Slice";
    /** Name of the organisation that sent the request. */
    public static final String ORGANISATION = "Snipewind-Organisation";
    /** Id of the request. */
    public static final String REQUEST = "Snipewind-Request";
    /** Milliseconds until the deadline of the request. */
    public static final String DEADLINE = "Snipewind-Deadline-Millis";
    /** Response header with the reason why the target did not run the request. */
    public static final String NOT_RUN = "Snipewind-Not-Run";
    /** Reason: the target shed the request. */
    public static final String NOT_RUN_SHED = "shed";
    /** Reason: the target rejected the fencing token or the slice. */
    public static final String NOT_RUN_FENCED = "fenced";
    /** Path of grant requests. */
    public static final String GRANT_PATH = "/snipewind/grant";
    /** Path prefix of cancellations, completed by the id of the request. */
    public static final String REQUESTS_PATH = "/snipewind/requests/";

    private TargetHeaders() {}
}
