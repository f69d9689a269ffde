package org.snipewind.command;

import io.vavr.control.Either;
import java.util.function.Function;
import org.snipewind.clients.configuration.FleetConfiguration;

/**
 * A change of one field of the configuration.
 *
 * @param note description of the change
 * @param fieldPath path of the field, whose segments are joined by dots
 * @param change returns the changed configuration, or the reason why the change is not possible
 */
record ConfigurationEdit(
        String note, String fieldPath, Function<FleetConfiguration, Either<String, FleetConfiguration>> change) {}
