package org.snipewind.command;

import io.vavr.control.Either;
import java.util.Optional;
import org.snipewind.clients.configuration.AcceptFailure;
import org.snipewind.clients.configuration.ConfigurationDifference;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.ConfigurationStore;
import org.snipewind.clients.configuration.FleetConfiguration;

/** Makes a change of one field, again if another operator changed other fields at the same time. */
final class ConfigurationEditor {

    private static final int ATTEMPTS = 10;

    private final ConfigurationStore revisions;

    ConfigurationEditor(ConfigurationStore revisions) {
        this.revisions = revisions;
    }

    /** Returns the revision in which the field has its new value; this is the current one if nothing had to change. */
    Either<AcceptFailure, ConfigurationRevision> edit(ConfigurationEdit edit, String author) {
        Optional<ConfigurationRevision> first = revisions.current();
        if (first.isEmpty()) {
            return invalid("the store has no configuration yet");
        }
        ConfigurationRevision base = first.get();
        Either<AcceptFailure, ConfigurationRevision> result = invalid("not tried");
        for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
            Either<String, FleetConfiguration> changed = edit.change().apply(base.configuration());
            if (changed.isLeft()) {
                return invalid(changed.getLeft());
            }
            if (changed.get().equals(base.configuration())) {
                return Either.right(base);
            }
            result = revisions.accept(changed.get(), base.revision(), author, edit.note());
            if (result.isRight()
                    || result.getLeft().kind() != AcceptFailure.Kind.CONFLICT
                    || result.getLeft().winner().isEmpty()) {
                return result;
            }
            ConfigurationRevision winner = result.getLeft().winner().get();
            boolean sameField =
                    ConfigurationDifference.between(first.get().configuration(), winner.configuration()).stream()
                            .anyMatch(change -> change.touches(edit.field()));
            if (sameField) {
                return result;
            }
            base = winner;
        }
        return result;
    }

    private static Either<AcceptFailure, ConfigurationRevision> invalid(String detail) {
        return Either.left(new AcceptFailure(AcceptFailure.Kind.INVALID, Optional.empty(), detail));
    }
}
