package org.snipewind.command;

import io.vavr.control.Either;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.snipewind.clients.configuration.AcceptFailure;
import org.snipewind.clients.configuration.ConfigurationStore;
import org.snipewind.clients.store.KeyValueStore;
import org.snipewind.clients.store.StoreException;
import org.snipewind.clients.store.VersionedValue;
import org.snipewind.coordination.fleet.FleetRecord;

/**
 * The surroundings of one run of the command.
 *
 * @param platform access to the daemons and the decoders
 * @param store the connected store
 * @param input standard input
 * @param output standard output, for results
 * @param errors standard error, for problems and progress
 * @param terminal whether a person watches the progress
 */
record CommandContext(
        Platform platform,
        KeyValueStore store,
        InputStream input,
        PrintStream output,
        PrintStream errors,
        boolean terminal) {

    private static final long CALL_SECONDS = 10;

    ConfigurationStore revisions() {
        return new ConfigurationStore(store, System::currentTimeMillis);
    }

    /** Reads a value; throws {@link StoreException} if the store does not answer. */
    Optional<VersionedValue> read(String key) {
        try {
            return store.get(key).get(CALL_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException failure) {
            if (failure.getCause() instanceof StoreException exception) {
                throw exception;
            }
            throw new StoreException("reading " + key + " failed: " + failure.getCause(), failure.getCause());
        } catch (TimeoutException failure) {
            throw new StoreException("reading " + key + " took more than " + CALL_SECONDS + " s", failure);
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            throw new StoreException("reading " + key + " was interrupted", failure);
        }
    }

    /** Reads the fleet record; an empty store has the empty record. */
    FleetRecord fleet() {
        Either<String, FleetRecord> record = read("fleet")
                .map(value -> platform.decodeFleet(value.content()))
                .orElse(Either.right(FleetRecord.EMPTY));
        return record.getOrElseThrow(reason -> new StoreException("the fleet record cannot be read: " + reason, null));
    }

    /** Prints a failed acceptance and returns its exit code. */
    int report(AcceptFailure failure) {
        errors.println(
                switch (failure.kind()) {
                    case CONFLICT -> "conflict: " + failure.detail();
                    case UNKNOWN -> "not known: " + failure.detail();
                    case UNREACHABLE -> "store not reachable: " + failure.detail();
                    case INVALID -> "not possible: " + failure.detail();
                });
        return switch (failure.kind()) {
            case CONFLICT -> ExitCode.CONFLICT;
            case UNKNOWN, UNREACHABLE -> ExitCode.UNREACHABLE;
            case INVALID -> ExitCode.USAGE;
        };
    }

    /** Shows progress that the next line of progress overwrites, on a terminal only. */
    void progress(String text) {
        if (terminal) {
            errors.print("\r\u001b[K" + text);
            errors.flush();
        }
    }
}
