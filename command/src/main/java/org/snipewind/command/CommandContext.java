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
 * Dependencies and standard streams of one run of the command.
 *
 * @param fleetClient client of the daemons and decoder of the store's records
 * @param store client of the store
 * @param input standard input
 * @param output standard output, for results
 * @param errors standard error, for error messages and progress
 * @param interactive whether progress is shown, because the process runs on a terminal
 */
record CommandContext(
        FleetClient fleetClient,
        KeyValueStore store,
        InputStream input,
        PrintStream output,
        PrintStream errors,
        boolean interactive) {

    private static final long STORE_TIMEOUT_SECONDS = 10;

    ConfigurationStore configurationStore() {
        return new ConfigurationStore(store, System::currentTimeMillis);
    }

    /** Reads a value; throws {@link StoreException} if the store does not respond. */
    Optional<VersionedValue> readValue(String key) {
        try {
            return store.get(key).get(STORE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException failure) {
            if (failure.getCause() instanceof StoreException exception) {
                throw exception;
            }
            throw new StoreException("reading " + key + " failed: " + failure.getCause(), failure.getCause());
        } catch (TimeoutException failure) {
            throw new StoreException("reading " + key + " took more than " + STORE_TIMEOUT_SECONDS + " s", failure);
        } catch (InterruptedException failure) {
            Thread.currentThread().interrupt();
            throw new StoreException("reading " + key + " was interrupted", failure);
        }
    }

    /** Reads the fleet record, or returns the empty record if the store has none. */
    FleetRecord readFleetRecord() {
        Either<String, FleetRecord> record = readValue("fleet")
                .map(value -> fleetClient.decodeFleetRecord(value.content()))
                .orElse(Either.right(FleetRecord.EMPTY));
        return record.getOrElseThrow(reason -> new StoreException("the fleet record cannot be read: " + reason, null));
    }

    /** Prints why a revision was not accepted, and returns the exit code. */
    int reportFailure(AcceptFailure failure) {
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

    /** Shows progress on an interactive terminal, in place of the progress shown before. */
    void showProgress(String text) {
        if (interactive) {
            errors.print("\r\u001b[K" + text);
            errors.flush();
        }
    }
}
