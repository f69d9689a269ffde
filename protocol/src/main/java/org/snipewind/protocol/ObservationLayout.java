package org.snipewind.protocol;

import java.util.List;
import java.util.Optional;
import org.snipewind.coordination.target.ObservedLoad;
import org.snipewind.coordination.target.TargetObservation;

/**
 * The wire layout of observations of targets. An observation takes some 20 bytes, because instances of a large fleet
 * send many of them each second.
 */
final class ObservationLayout {

    private static final int FIELDS_WITHOUT_LOAD = 4;
    private static final int FIELDS_WITH_LOAD = 9;

    private ObservationLayout() {}

    static void writeAll(FieldWriter out, List<TargetObservation> observations) {
        out.writeList(observations, observation -> write(out, observation));
    }

    static List<TargetObservation> readAll(FieldReader in) {
        return in.readList("observations", () -> read(in));
    }

    private static void write(FieldWriter out, TargetObservation observation) {
        out.writeArrayHeader(observation.load().isPresent() ? FIELDS_WITH_LOAD : FIELDS_WITHOUT_LOAD)
                .writeLong(observation.target())
                .writeLong(observation.responses())
                .writeLong(observation.serviceTenths())
                .writeLong(observation.failures());
        observation
                .load()
                .ifPresent(load -> out.writeLong(load.ageMillis())
                        .writeLong(load.running())
                        .writeLong(load.waiting())
                        .writeLong(load.slots())
                        .writeLong(load.slowdownPercent()));
    }

    private static TargetObservation read(FieldReader in) {
        int fields = in.readArrayHeader("observation");
        if (fields != FIELDS_WITHOUT_LOAD && fields != FIELDS_WITH_LOAD) {
            throw in.failure("observation", "has " + fields + " fields");
        }
        return new TargetObservation(
                in.readInt("target"),
                in.readInt("responses"),
                in.readInt("serviceTenths"),
                in.readInt("failures"),
                fields == FIELDS_WITH_LOAD ? Optional.of(readLoad(in)) : Optional.empty());
    }

    private static ObservedLoad readLoad(FieldReader in) {
        return new ObservedLoad(
                in.readInt("ageMillis"),
                in.readInt("running"),
                in.readInt("waiting"),
                in.readInt("slots"),
                in.readInt("slowdownPercent"));
    }
}
