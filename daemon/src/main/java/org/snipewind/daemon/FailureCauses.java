package org.snipewind.daemon;

/** Searches the cause chain of a failure, since futures wrap the original exception. */
public final class FailureCauses {

    private FailureCauses() {}

    /**
     * Returns whether a failure or one of its causes is of a type.
     *
     * @param failure the failure, or null if there is none
     * @param type the type
     * @return true if the failure or one of its causes is an instance of the type
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
