package org.snipewind.coordination.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.snipewind.coordination.ownership.KeyHasher;

/** Chooses the members that acknowledge a member's lease. */
public final class LeaseGroups {

    private static final int LARGEST_GROUP = 5;
    // Two of five lost with a data centre leave a majority of three.
    private static final int PER_DATA_CENTRE = 2;

    private LeaseGroups() {}

    /**
     * Selects the lease group of a member by rendezvous hashing, with members of its region first.
     *
     * @param memberId id of the member whose group is selected; it has to be among the members
     * @param members all members of the fleet
     * @return ids of 5, 3 or 1 others, or none if the member is alone
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
        int perDataCentre = isSingleDataCentre ? LARGEST_GROUP : PER_DATA_CENTRE;
        List<Member> group = new ArrayList<>();
        Map<String, Integer> counts = new HashMap<>();
        for (Member candidate : candidates) {
            if (group.size() < LARGEST_GROUP && counts.getOrDefault(candidate.dataCentre(), 0) < perDataCentre) {
                group.add(candidate);
                counts.merge(candidate.dataCentre(), 1, Integer::sum);
            }
        }
        if (group.size() % 2 == 0 && !group.isEmpty()) {
            removeOne(group, counts);
        }
        return group.stream().map(Member::id).toList();
    }

    /**
     * Counts the members of a group in the data centre that holds most of them.
     *
     * @param group ids of a lease group
     * @param members members by id
     * @return the largest count in one data centre
     */
    static int largestShare(List<String> group, Map<String, Member> members) {
        Map<String, Integer> counts = new HashMap<>();
        for (String id : group) {
            Member member = members.get(id);
            if (member != null) {
                counts.merge(member.dataCentre(), 1, Integer::sum);
            }
        }
        return counts.values().stream().max(Comparator.naturalOrder()).orElse(0);
    }

    // An even group needs the same majority as the next odd one, so it tolerates fewer losses. The member that goes
    // is the last one of the data centre with the largest share: 2 + 1 + 1 becomes 1 + 1 + 1.
    private static void removeOne(List<Member> group, Map<String, Integer> counts) {
        int last = group.size() - 1;
        for (int index = last - 1; index >= 0; index--) {
            if (counts.get(group.get(index).dataCentre())
                    > counts.get(group.get(last).dataCentre())) {
                last = index;
            }
        }
        group.remove(last);
    }
}
