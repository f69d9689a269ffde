package org.snipewind.daemon;

/** Looks into the causes of failures, which futures wrap. */
public final class FailureCauses {

    private FailureCauses() {}

    /**
     * Tells whether a failure or one of its causes is of a type.
     *
     * @param failure the failure, null for none
     * @param type type to look for
     * @return true if the type is found
     */
    public static boolean contain(Throwable failure, Class<? extends Throwable> type) {
        for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
            if (type.isInstance(cause)) {
                return true;
            }
        }
        return false;
    }
}
