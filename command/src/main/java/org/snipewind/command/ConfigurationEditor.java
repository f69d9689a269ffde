package org.snipewind.command;

import io.vavr.control.Either;
import java.util.Optional;
import org.snipewind.clients.configuration.AcceptFailure;
import org.snipewind.clients.configuration.ConfigurationDifference;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.ConfigurationStore;
import org.snipewind.clients.configuration.FleetConfiguration;

/** Makes a change of one field and retries it if another operator changed other fields at the same time. */
final class ConfigurationEditor {

    private static final int MAX_ATTEMPTS = 10;

    private final ConfigurationStore configurationStore;

    ConfigurationEditor(ConfigurationStore configurationStore) {
        this.configurationStore = configurationStore;
    }

    /** Returns the revision in which the field has its new value: the current one if it has that value already. */
    Either<AcceptFailure, ConfigurationRevision> edit(ConfigurationEdit edit, String author) {
        Optional<ConfigurationRevision> original = configurationStore.current();
        if (original.isEmpty()) {
            return invalid("the store has no configuration yet");
        }
        ConfigurationRevision base = original.get();
        Either<AcceptFailure, ConfigurationRevision> result = invalid("not attempted");
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Either<String, FleetConfiguration> changed = edit.change().apply(base.configuration());
            if (changed.isLeft()) {
                return invalid(changed.getLeft());
            }
            if (changed.get().equals(base.configuration())) {
                return Either.right(base);
            }
            result = configurationStore.accept(changed.get(), base.revision(), author, edit.note());
            if (result.isRight()
                    || result.getLeft().kind() != AcceptFailure.Kind.CONFLICT
                    || result.getLeft().conflictingRevision().isEmpty()) {
                return result;
            }
            ConfigurationRevision conflictingRevision =
                    result.getLeft().conflictingRevision().get();
            boolean sameField =
                    ConfigurationDifference.between(original.get().configuration(), conflictingRevision.configuration())
                            .stream()
                            .anyMatch(change -> change.touches(edit.fieldPath()));
            if (sameField) {
                // A retry would overwrite the value that the other operator gave to this field.
                return result;
            }
            base = conflictingRevision;
        }
        return result;
    }

    private static Either<AcceptFailure, ConfigurationRevision> invalid(String detail) {
        return Either.left(new AcceptFailure(AcceptFailure.Kind.INVALID, Optional.empty(), detail));
    }
}
