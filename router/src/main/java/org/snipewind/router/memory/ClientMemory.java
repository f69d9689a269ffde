package org.snipewind.router.memory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * Accounts for the memory that clients' connections take in any form other than large bodies, which have budgets of
 * their own. When the budget is exceeded, the connections that take most are closed first, if the client has left a
 * request unfinished or a response unread; new connections are not worse off than old ones. Whole requests stay, unless
 * they exceed a higher budget: they are held as long as their targets don't answer, and any number of clients may send
 * them. Then those of the connection that takes most are ended. Thread-safe.
 */
public final class ClientMemory {

    /** Time without any byte of a body after which it gives way to a body that waits for memory. */
    private static final long STALLED_BODY_MILLIS = 1_000;

    /** Budget that whole requests may use up, as a multiple of the budget for all else. */
    private static final double WHOLE_REQUESTS_FACTOR = 1.5;

    private final long maxBytes;
    private final Set<ConnectionMemory> connections = new HashSet<>();
    private long heldBytes;

    /** Memory of connections that have been told to close. */
    private long closingBytes;

    /**
     * Creates an account.
     *
     * @param maxBytes memory that all connections together may take before unfinished requests are refused
     */
    public ClientMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Opens the account of a connection.
     *
     * @param onClose closes the connection for lack of memory, on any thread
     * @param onEndRequests ends the whole requests of the connection for lack of memory, on any thread
     * @return the account, which must be released
     */
    public synchronized ConnectionMemory open(Runnable onClose, Runnable onEndRequests) {
        ConnectionMemory opened = new ConnectionMemory(this, onClose, onEndRequests);
        connections.add(opened);
        return opened;
    }

    /**
     * Returns the memory in use.
     *
     * @return bytes of all connections
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /**
     * Closes the connection with the largest unfinished body of which nothing has arrived for some time, as another
     * body needs the memory.
     *
     * @param nowMillis current time
     * @return whether there was such a connection
     */
    public boolean closeStalledBody(long nowMillis) {
        return closeFirst(
                connection -> connection.isStalledSince(nowMillis - STALLED_BODY_MILLIS), ConnectionMemory::cost);
    }

    /**
     * Closes the connection that takes most memory among those with an unfinished request or an unread response.
     *
     * @return whether there was such a connection
     */
    public boolean closeMostCostly() {
        return closeFirst(ConnectionMemory::mayClose, ConnectionMemory::cost);
    }

    private boolean closeFirst(Predicate<ConnectionMemory> eligible, ToLongFunction<ConnectionMemory> order) {
        Optional<ConnectionMemory> chosen;
        synchronized (this) {
            chosen = choose(eligible, order);
        }
        chosen.ifPresent(ConnectionMemory::close);
        return chosen.isPresent();
    }

    private Optional<ConnectionMemory> choose(
            Predicate<ConnectionMemory> eligible, ToLongFunction<ConnectionMemory> order) {
        Optional<ConnectionMemory> chosen =
                connections.stream().filter(eligible).max(Comparator.comparingLong(order));
        chosen.ifPresent(connection -> {
            connection.markClosing();
            closingBytes += connection.heldBytes();
        });
        return chosen;
    }

    void closeExceeding() {
        List<ConnectionMemory> unfinished;
        List<ConnectionMemory> whole;
        synchronized (this) {
            unfinished = chooseUntilBelow(maxBytes, ConnectionMemory::mayClose);
            whole = chooseUntilBelow((long) (maxBytes * WHOLE_REQUESTS_FACTOR), connection -> !connection.isClosing());
        }
        unfinished.forEach(ConnectionMemory::close);
        whole.forEach(ConnectionMemory::endRequests);
    }

    private List<ConnectionMemory> chooseUntilBelow(long limitBytes, Predicate<ConnectionMemory> eligible) {
        List<ConnectionMemory> chosen = new ArrayList<>();
        while (heldBytes - closingBytes > limitBytes) {
            Optional<ConnectionMemory> most = choose(eligible, ConnectionMemory::heldBytes);
            if (most.isEmpty()) {
                break;
            }
            chosen.add(most.get());
        }
        return chosen;
    }

    synchronized void add(long bytes, boolean closing) {
        heldBytes += bytes;
        closingBytes += closing ? bytes : 0;
    }

    synchronized void closeDeferred(long bytes) {
        closingBytes -= bytes;
    }

    synchronized void remove(ConnectionMemory connection) {
        connections.remove(connection);
        add(-connection.heldBytes(), connection.isClosing());
    }
}
