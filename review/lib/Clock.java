/** The steady clock of the stand-ins, in milliseconds since the start of the script. */
final class Clock {

    private static final long START = System.nanoTime();

    private Clock() {}

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
