package org.snipewind.coordination.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.coordination.ownership.KeyHasher;

/** Selects the lease group of a member: the members that acknowledge its lease. */
public final class LeaseGroups {

    private static final int MAX_GROUP_SIZE = 5;
    // If a data centre with two of five members is lost, the other three are still a majority.
    private static final int MAX_PER_DATA_CENTRE = 2;

    private LeaseGroups() {}

    /**
     * Selects the lease group of a member by rendezvous hashing; members of its region take precedence.
     *
     * @param memberId id of the member whose group is selected; it must be one of the members
     * @param members all members of the fleet
     * @return ids of 5, 3 or 1 other members, or none if the member is alone
     */
    public static List<String> select(String memberId, Collection<Member> members) {
        String region = members.stream()
                .filter(member -> member.id().equals(memberId))
                .map(Member::region)
                .findFirst()
                .orElse("");
        List<Member> candidates = members.stream()
                .filter(member -> !member.id().equals(memberId))
                .sorted(Comparator.comparing((Member member) -> !member.region().equals(region))
                        .thenComparing(member -> KeyHasher.hash(memberId + '\n' + member.id()))
                        .thenComparing(Member::id))
                .toList();
        boolean isSingleDataCentre =
                members.stream().map(Member::dataCentre).distinct().count() == 1;
        int maxPerDataCentre = isSingleDataCentre ? MAX_GROUP_SIZE : MAX_PER_DATA_CENTRE;
        List<Member> group = new ArrayList<>();
        Map<String, Integer> countByDataCentre = new HashMap<>();
        for (Member candidate : candidates) {
            if (group.size() < MAX_GROUP_SIZE
                    && countByDataCentre.getOrDefault(candidate.dataCentre(), 0) < maxPerDataCentre) {
                group.add(candidate);
                countByDataCentre.merge(candidate.dataCentre(), 1, Integer::sum);
            }
        }
        if (group.size() % 2 == 0 && !group.isEmpty()) {
            makeOdd(group, countByDataCentre);
        }
        return group.stream().map(Member::id).toList();
    }

    /**
     * Returns the largest number of group members in one data centre.
     *
     * @param group ids of a lease group
     * @param members members by id
     * @return number of group members in the data centre with most of them
     */
    static int maxMembersInOneDataCentre(List<String> group, Map<String, Member> members) {
        Map<String, Integer> countByDataCentre = new HashMap<>();
        for (String id : group) {
            Member member = members.get(id);
            if (member != null) {
                countByDataCentre.merge(member.dataCentre(), 1, Integer::sum);
            }
        }
        return countByDataCentre.values().stream()
                .max(Comparator.naturalOrder())
                .orElse(0);
    }

    // An even group needs the same majority as the next larger odd one, so it tolerates fewer losses. The removed
    // member is the last one in the data centre with most members: 2 + 1 + 1 becomes 1 + 1 + 1.
    private static void makeOdd(List<Member> group, Map<String, Integer> countByDataCentre) {
        int removedIndex = group.size() - 1;
        for (int index = removedIndex - 1; index >= 0; index--) {
            if (countByDataCentre.get(group.get(index).dataCentre())
                    > countByDataCentre.get(group.get(removedIndex).dataCentre())) {
                removedIndex = index;
            }
        }
        group.remove(removedIndex);
    }
}
