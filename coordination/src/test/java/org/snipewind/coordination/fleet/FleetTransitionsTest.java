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

    /** Creates a fleet with members spread evenly over data centres, and reselects the lease group of each. */
    private static FleetRecord fleet(int members, int dataCentres) {
        FleetRecord record = FleetRecord.EMPTY;
        for (int index = 0; index < members; index++) {
            record = FleetTransitions.join(record, member("m" + index, "dc" + index % dataCentres), "w")
                    .orElseThrow();
        }
        for (String id : record.members().keySet()) {
            record = FleetTransitions.reselectLeaseGroup(record, id, "w").orElse(record);
        }
        return record;
    }

    private static Map<String, RoleRequirement> targetRoles(int count, int dataCentres) {
        Map<String, RoleRequirement> requirements = new HashMap<>();
        for (int index = 0; index < count; index++) {
            String role = RoleNames.target("t" + index);
            requirements.put(
                    role, new RoleRequirement(role, Optional.of("region"), Optional.of("dc" + index % dataCentres)));
        }
        return requirements;
    }

    // Guards against lease groups that lose their majority with one data centre.
    @Test
    void lossOfOneDataCentreLeavesAMajorityOfEachLeaseGroup() {
        FleetRecord record = fleet(9, 3);
        for (Member member : record.members().values()) {
            assertThat(member.leaseGroup()).hasSize(5);
            assertThat(LeaseGroups.maxMembersInOneDataCentre(member.leaseGroup(), record.members()))
                    .isAtMost(2);
        }
    }

    @Test
    void leaseGroupsAreOddAndLimitedPerDataCentreUnlessThereIsOnlyOne() {
        assertThat(fleet(7, 1).members().get("m0").leaseGroup()).hasSize(5);
        assertThat(fleet(8, 2).members().get("m0").leaseGroup()).hasSize(3);
        assertThat(fleet(3, 3).members().get("m0").leaseGroup()).hasSize(1);
        assertThat(fleet(1, 1).members().get("m0").leaseGroup()).isEmpty();
    }

    // Guards against removal confirmed by a minority, or by a lease group that the holder no longer has.
    @Test
    void removalNeedsAMajorityOfTheStoredLeaseGroupAndFencesTheRoles() {
        Map<String, RoleRequirement> roles = targetRoles(12, 3);
        FleetRecord record =
                FleetTransitions.placeRoles(fleet(9, 3), roles, "w").orElseThrow();
        List<String> group = record.members().get("m4").leaseGroup();
        LeaseExpiryConfirmations confirmations = new LeaseExpiryConfirmations("m4", group);
        group.subList(0, 2).forEach(confirmations::addConfirmation);
        assertThat(FleetTransitions.remove(record, "m4", confirmations, roles, "w"))
                .isEmpty();
        confirmations.addConfirmation(group.get(2));
        LeaseExpiryConfirmations confirmationsOfOtherGroup = new LeaseExpiryConfirmations("m4", List.of("m1"));
        confirmationsOfOtherGroup.addConfirmation("m1");
        assertThat(FleetTransitions.remove(record, "m4", confirmationsOfOtherGroup, roles, "w"))
                .isEmpty();
        FleetRecord removed = FleetTransitions.remove(record, "m4", confirmations, roles, "writer")
                .orElseThrow();
        assertThat(removed.writer()).isEqualTo("writer");
        assertThat(removed.member("m4")).isEmpty();
        assertThat(removed.roles().keySet()).isEqualTo(roles.keySet());
        for (String role : record.rolesOf("m4")) {
            assertThat(removed.roles().get(role).token())
                    .isGreaterThan(record.roles().get(role).token());
        }
        assertThat(FleetTransitions.join(record, member("m4", "dc1"), "w")).isEmpty();
    }

    // Guards against a fencing token that restarts, so that requests of an earlier holder would be accepted.
    @Test
    void tokenIncreasesWhenARoleIsDroppedAndAssignedAgain() {
        Map<String, RoleRequirement> roles = targetRoles(1, 1);
        FleetRecord first = FleetTransitions.placeRoles(fleet(1, 1), roles, "w").orElseThrow();
        FleetRecord withoutRole =
                FleetTransitions.dropRoles(first, "m0", roles.keySet(), "w").orElseThrow();
        FleetRecord second =
                FleetTransitions.placeRoles(withoutRole, roles, "w").orElseThrow();
        assertThat(second.roles().get("target:t0").token())
                .isGreaterThan(first.roles().get("target:t0").token());
    }

    // Guards against removal because of a mark that the live member has cleared in the meantime.
    @Test
    void markThatWasClearedAndSetAgainRestartsTheSecondPhase() {
        FleetRecord marked =
                FleetTransitions.markForRemoval(fleet(2, 1), "m1", "w").orElseThrow();
        FleetRecord markedAgain = FleetTransitions.clearRemovalMark(marked, "m1", "w")
                .flatMap(record -> FleetTransitions.markForRemoval(record, "m1", "w"))
                .orElseThrow();
        assertThat(FleetTransitions.removeMarked(markedAgain, "m1", marked.epoch(), Map.of(), "w"))
                .isEmpty();
        assertThat(FleetTransitions.removeMarked(markedAgain, "m1", markedAgain.epoch(), Map.of(), "w")
                        .orElseThrow()
                        .marks())
                .isEmpty();
    }

    // Guards against roles that move back and forth: with random members, handovers in random order must end.
    @Property(tries = 100, seed = "1")
    void handoversConverge(@ForAll long seed) {
        Random random = new Random(seed);
        Map<String, RoleRequirement> roles = targetRoles(random.nextInt(60) + 1, 3);
        FleetRecord record = FleetTransitions.placeRoles(fleet(random.nextInt(9) + 1, 3), roles, "w")
                .orElseThrow();
        for (int index = 20; index < 20 + random.nextInt(6); index++) {
            record = FleetTransitions.join(record, member("m" + index, "dc" + random.nextInt(3)), "w")
                    .orElseThrow();
        }
        int handovers = 0;
        Set<String> membersWithoutHandover = new HashSet<>();
        List<String> ids = List.copyOf(record.members().keySet());
        while (membersWithoutHandover.size() < ids.size()) {
            String id = ids.get(random.nextInt(ids.size()));
            Set<String> rolesToHandOver = RolePlacement.rolesToHandOver(record, id, roles);
            if (rolesToHandOver.isEmpty()) {
                membersWithoutHandover.add(id);
                continue;
            }
            membersWithoutHandover.clear();
            record = FleetTransitions.handOver(record, id, rolesToHandOver, roles, "w")
                    .orElseThrow();
            assertWithMessage("handovers").that(++handovers).isLessThan(100);
        }
        int maxRoles = Math.max(1, (int) Math.ceil(1.25 * roles.size() / ids.size()));
        for (String id : ids) {
            assertThat(record.rolesOf(id).size()).isAtMost(maxRoles);
        }
        assertThat(record.roles().keySet()).isEqualTo(roles.keySet());
    }
}
