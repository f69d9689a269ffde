package org.snipewind.command;

import io.vavr.control.Either;
import java.util.function.Function;
import org.snipewind.clients.configuration.FleetConfiguration;

/**
 * A change of one field.
 *
 * @param note what the change is
 * @param field path of the field
 * @param change computes the new configuration, or says why the change is not possible
 */
record ConfigurationEdit(
        String note, String field, Function<FleetConfiguration, Either<String, FleetConfiguration>> change) {}
