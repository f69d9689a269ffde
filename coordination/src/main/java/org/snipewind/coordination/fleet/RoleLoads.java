package org.snipewind.coordination.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.snipewind.coordination.ownership.KeyHasher;

/** Counts the roles of each member against the cap of rendezvous hashing with bounded loads. */
final class RoleLoads {

    // The factor of bounded loads: lower values balance better and move more roles on a join or loss.
    private static final double LOAD_FACTOR = 1.25;

    private final Map<String, Member> members;
    private final Map<String, Integer> counts = new HashMap<>();
    private final int cap;

    RoleLoads(Map<String, Member> members, Collection<RoleAssignment> placed, int toPlace) {
        this.members = members;
        for (RoleAssignment assignment : placed) {
            counts.merge(assignment.holder(), 1, Integer::sum);
        }
        double mean = (placed.size() + toPlace) / (double) Math.max(1, members.size());
        cap = Math.max(1, (int) Math.ceil(LOAD_FACTOR * mean));
    }

    /** Finds the best member below the cap other than the excluded one. */
    Optional<Member> chooseWithRoom(RoleRequirement requirement, String excluded) {
        return best(requirement, member -> !member.id().equals(excluded) && count(member) < cap);
    }

    /** Finds the best member other than the excluded one, above the cap only if all others are full. */
    Optional<Member> choose(RoleRequirement requirement, String excluded) {
        return chooseWithRoom(requirement, excluded)
                .or(() -> members.values().stream()
                        .filter(member -> !member.id().equals(excluded))
                        .min(Comparator.comparing(this::count).thenComparing(order(requirement))));
    }

    boolean isAboveCap(String memberId) {
        return counts.getOrDefault(memberId, 0) > cap;
    }

    void add(String memberId) {
        counts.merge(memberId, 1, Integer::sum);
    }

    void move(String from, String to) {
        counts.merge(from, -1, Integer::sum);
        add(to);
    }

    /** Ranks how well a member fits a role; 0 is best. */
    static int rank(Member member, RoleRequirement requirement) {
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

    static long score(String role, String memberId) {
        return KeyHasher.hash(role + '\n' + memberId);
    }

    private int count(Member member) {
        return counts.getOrDefault(member.id(), 0);
    }

    private Optional<Member> best(RoleRequirement requirement, Predicate<Member> allowed) {
        return members.values().stream().filter(allowed).min(order(requirement));
    }

    private static Comparator<Member> order(RoleRequirement requirement) {
        return Comparator.comparing((Member member) -> rank(member, requirement))
                .thenComparing(member -> score(requirement.role(), member.id()))
                .thenComparing(Member::id);
    }
}
