package org.snipewind.coordination.fleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.snipewind.coordination.lease.LeaseExpiryConfirmations;

final class FleetTransitionsTest {

    private static Member member(String id, String dataCentre) {
        return new Member(id, "region", dataCentre, "", "", List.of());
    }

    /** Joins members round-robin over data centres and lets each regroup. */
    private static FleetRecord fleet(int members, int dataCentres) {
        FleetRecord record = FleetRecord.EMPTY;
        for (int number = 0; number < members; number++) {
            record = FleetTransitions.join(record, member("m" + number, "dc" + number % dataCentres), "w")
                    .orElseThrow();
        }
        for (String id : record.members().keySet()) {
            record = FleetTransitions.reselectLeaseGroup(record, id, "w").orElse(record);
        }
        return record;
    }

    private static Map<String, RoleRequirement> targets(int count, int dataCentres) {
        Map<String, RoleRequirement> requirements = new HashMap<>();
        for (int number = 0; number < count; number++) {
            String role = RoleNames.target("t" + number);
            requirements.put(
                    role, new RoleRequirement(role, Optional.of("region"), Optional.of("dc" + number % dataCentres)));
        }
        return requirements;
    }

    // Guards against groups of which the loss of one data centre takes a majority.
    @Test
    void lossOfDataCentreLeavesMajorityInEachGroup() {
        FleetRecord record = fleet(9, 3);
        for (Member member : record.members().values()) {
            assertThat(member.leaseGroup()).hasSize(5);
            assertThat(LeaseGroups.largestShare(member.leaseGroup(), record.members()))
                    .isAtMost(2);
        }
    }

    @Test
    void groupsAreOddAndKeepTheShareOfDataCentresUnlessThereIsOnlyOne() {
        assertThat(fleet(7, 1).members().get("m0").leaseGroup()).hasSize(5);
        assertThat(fleet(8, 2).members().get("m0").leaseGroup()).hasSize(3);
        assertThat(fleet(3, 3).members().get("m0").leaseGroup()).hasSize(1);
        assertThat(fleet(1, 1).members().get("m0").leaseGroup()).isEmpty();
    }

    // Guards against removal on the word of a minority, or of a group that the holder has left.
    @Test
    void removalNeedsMajorityOfTheStoredGroupAndFencesTheRoles() {
        Map<String, RoleRequirement> roles = targets(12, 3);
        FleetRecord record =
                FleetTransitions.placeRoles(fleet(9, 3), roles, "w").orElseThrow();
        List<String> group = record.members().get("m4").leaseGroup();
        LeaseExpiryConfirmations evidence = new LeaseExpiryConfirmations("m4", group);
        group.subList(0, 2).forEach(evidence::addConfirmation);
        assertThat(FleetTransitions.remove(record, "m4", evidence, roles, "w")).isEmpty();
        evidence.addConfirmation(group.get(2));
        LeaseExpiryConfirmations other = new LeaseExpiryConfirmations("m4", List.of("m1"));
        other.addConfirmation("m1");
        assertThat(FleetTransitions.remove(record, "m4", other, roles, "w")).isEmpty();
        FleetRecord removed =
                FleetTransitions.remove(record, "m4", evidence, roles, "writer").orElseThrow();
        assertThat(removed.writer()).isEqualTo("writer");
        assertThat(removed.member("m4")).isEmpty();
        assertThat(removed.roles().keySet()).isEqualTo(roles.keySet());
        for (String role : record.rolesOf("m4")) {
            assertThat(removed.roles().get(role).token())
                    .isGreaterThan(record.roles().get(role).token());
        }
        assertThat(FleetTransitions.join(record, member("m4", "dc1"), "w")).isEmpty();
    }

    // Guards against a token that starts again, which would let an earlier holder pass the fence.
    @Test
    void tokenGrowsWhenRoleIsDroppedAndPlacedAgain() {
        Map<String, RoleRequirement> roles = targets(1, 1);
        FleetRecord first = FleetTransitions.placeRoles(fleet(1, 1), roles, "w").orElseThrow();
        FleetRecord dropped =
                FleetTransitions.dropRoles(first, "m0", roles.keySet(), "w").orElseThrow();
        FleetRecord second = FleetTransitions.placeRoles(dropped, roles, "w").orElseThrow();
        assertThat(second.roles().get("target:t0").token())
                .isGreaterThan(first.roles().get("target:t0").token());
    }

    // Guards against a removal by a mark that the live member has removed in the meantime.
    @Test
    void markThatWasRemovedAndSetAgainStartsAnew() {
        FleetRecord marked =
                FleetTransitions.markForRemoval(fleet(2, 1), "m1", "w").orElseThrow();
        FleetRecord again = FleetTransitions.clearRemovalMark(marked, "m1", "w")
                .flatMap(record -> FleetTransitions.markForRemoval(record, "m1", "w"))
                .orElseThrow();
        assertThat(FleetTransitions.removeMarked(again, "m1", marked.epoch(), Map.of(), "w"))
                .isEmpty();
        assertThat(FleetTransitions.removeMarked(again, "m1", again.epoch(), Map.of(), "w")
                        .orElseThrow()
                        .marks())
                .isEmpty();
    }

    // Guards against roles that go back and forth: random membership, then hand-overs in random order must end.
    @Property(tries = 100, seed = "1")
    void handOversConverge(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, RoleRequirement> roles = targets(random.nextInt(60) + 1, 3);
        FleetRecord record = FleetTransitions.placeRoles(fleet(random.nextInt(9) + 1, 3), roles, "w")
                .orElseThrow();
        for (int number = 20; number < 20 + random.nextInt(6); number++) {
            record = FleetTransitions.join(record, member("m" + number, "dc" + random.nextInt(3)), "w")
                    .orElseThrow();
        }
        int steps = 0;
        Set<String> settled = new HashSet<>();
        List<String> ids = List.copyOf(record.members().keySet());
        while (settled.size() < ids.size()) {
            String id = ids.get(random.nextInt(ids.size()));
            Set<String> surplus = RolePlacement.rolesToHandOver(record, id, roles);
            if (surplus.isEmpty()) {
                settled.add(id);
                continue;
            }
            settled.clear();
            record = FleetTransitions.handOver(record, id, surplus, roles, "w").orElseThrow();
            assertWithMessage("hand-overs").that(++steps).isLessThan(100);
        }
        int cap = Math.max(1, (int) Math.ceil(1.25 * roles.size() / ids.size()));
        for (String id : ids) {
            assertThat(record.rolesOf(id).size()).isAtMost(cap);
        }
        assertThat(record.roles().keySet()).isEqualTo(roles.keySet());
    }
}
