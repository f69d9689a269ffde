package org.snipewind.router.peer;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.snipewind.router.state.MemberRecord;

/** Guards against instances that name different relays for the same data centre, and against a small one as relay. */
final class RelayDirectoryTest {

    private static MemberRecord member(String name, String dataCentre, double capacity) {
        return new MemberRecord(name, "boot-" + name, name + ":1", dataCentre, capacity);
    }

    @Test
    void theInstanceWithTheHighestCapacityIsTheRelayOfItsDataCentre() {
        List<MemberRecord> members =
                List.of(member("small", "dc-1", 0.1), member("large", "dc-1", 0.9), member("larger", "dc-2", 1.2));
        assertThat(RelayDirectory.relayOf("dc-1", members)).hasValue(members.get(1));
        assertThat(RelayDirectory.relayOf("dc-2", members)).hasValue(members.get(2));
    }

    @Test
    void amongEqualInstancesTheFirstByNameIsTheRelayWhateverTheOrder() {
        List<MemberRecord> members =
                new ArrayList<>(List.of(member("c", "dc-1", 0.5), member("a", "dc-1", 0.5), member("b", "dc-1", 0.5)));
        Random random = new Random(1);
        for (int order = 0; order < 10; order++) {
            Collections.shuffle(members, random);
            assertThat(RelayDirectory.relayOf("dc-1", members).map(MemberRecord::name))
                    .hasValue("a");
        }
    }

    @Test
    void aDataCentreWithoutInstancesHasNoRelay() {
        assertThat(RelayDirectory.relayOf("dc-2", List.of(member("a", "dc-1", 0.5))))
                .isEmpty();
    }
}
