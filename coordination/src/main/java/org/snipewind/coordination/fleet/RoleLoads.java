package org.snipewind.coordination.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.snipewind.coordination.ownership.KeyHasher;

/** Counts the roles of each member and enforces the load cap of rendezvous hashing with bounded loads. */
final class RoleLoads {

    // Ratio of the load cap to the mean load. Lower values balance better, but move more roles on a join or loss.
    private static final double LOAD_FACTOR = 1.25;

    private final Map<String, Member> members;
    private final Map<String, Integer> roleCounts = new HashMap<>();
    private final int loadCap;

    RoleLoads(Map<String, Member> members, Collection<RoleAssignment> assigned, int rolesToAssign) {
        this.members = members;
        for (RoleAssignment assignment : assigned) {
            roleCounts.merge(assignment.holder(), 1, Integer::sum);
        }
        double mean = (assigned.size() + rolesToAssign) / (double) Math.max(1, members.size());
        loadCap = Math.max(1, (int) Math.ceil(LOAD_FACTOR * mean));
    }

    /** Returns the preferred member below the load cap other than the excluded one. */
    Optional<Member> chooseBelowCap(RoleRequirement requirement, String excludedId) {
        return firstByPreference(requirement, member -> !member.id().equals(excludedId) && roleCount(member) < loadCap);
    }

    /** Returns the preferred member other than the excluded one; if all have reached the cap, the least loaded one. */
    Optional<Member> choose(RoleRequirement requirement, String excludedId) {
        return chooseBelowCap(requirement, excludedId)
                .or(() -> members.values().stream()
                        .filter(member -> !member.id().equals(excludedId))
                        .min(Comparator.comparing(this::roleCount).thenComparing(byPreference(requirement))));
    }

    boolean isAboveCap(String memberId) {
        return roleCounts.getOrDefault(memberId, 0) > loadCap;
    }

    void add(String memberId) {
        roleCounts.merge(memberId, 1, Integer::sum);
    }

    void move(String from, String to) {
        roleCounts.merge(from, -1, Integer::sum);
        add(to);
    }

    /** Returns how far the location of a member is from the one that a role requires; 0 is the best location. */
    static int locationPenalty(Member member, RoleRequirement requirement) {
        if (requirement.role().startsWith(RoleNames.WATCH_PREFIX)) {
            return requirement.role().equals(RoleNames.watch(member.dataCentre())) ? 0 : 1;
        }
        if (requirement
                .region()
                .filter(region -> !region.equals(member.region()))
                .isPresent()) {
            return 2;
        }
        return requirement
                        .avoidedDataCentre()
                        .filter(member.dataCentre()::equals)
                        .isPresent()
                ? 1
                : 0;
    }

    static long hashScore(String role, String memberId) {
        return KeyHasher.hash(role + '\n' + memberId);
    }

    private int roleCount(Member member) {
        return roleCounts.getOrDefault(member.id(), 0);
    }

    private Optional<Member> firstByPreference(RoleRequirement requirement, Predicate<Member> allowed) {
        return members.values().stream().filter(allowed).min(byPreference(requirement));
    }

    /** Orders members by location, then by rendezvous hash. */
    private static Comparator<Member> byPreference(RoleRequirement requirement) {
        return Comparator.comparing((Member member) -> locationPenalty(member, requirement))
                .thenComparing(member -> hashScore(requirement.role(), member.id()))
                .thenComparing(Member::id);
    }
}
