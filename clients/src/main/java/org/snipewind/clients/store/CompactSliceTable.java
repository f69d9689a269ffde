package org.snipewind.clients.store;

import io.micronaut.serde.annotation.Serdeable;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.snipewind.coordination.ownership.SliceOwnership;
import org.snipewind.coordination.ownership.SliceTable;

/**
 * Stored form of a slice table: each name once, slices as numbers.
 *
 * @param pool name of the pool
 * @param version version of the table
 * @param writer unique id of the write
 * @param targets names of the targets
 * @param owners for each slice the position of its owner in {@code targets}, -1 for none
 * @param releasing position of the previous owner in {@code targets}, by slice, only for slices being released
 */
@Serdeable
record CompactSliceTable(
        String pool,
        long version,
        String writer,
        List<String> targets,
        List<Integer> owners,
        Map<String, Integer> releasing) {

    static CompactSliceTable of(SliceTable table) {
        Map<String, Integer> positions = new LinkedHashMap<>();
        List<Integer> owners = new ArrayList<>();
        Map<String, Integer> releasing = new LinkedHashMap<>();
        for (int slice = 0; slice < table.slices().size(); slice++) {
            SliceOwnership ownership = table.slices().get(slice);
            owners.add(ownership.owner().map(name -> position(positions, name)).orElse(-1));
            if (ownership.releasing().isPresent()) {
                releasing.put(
                        Integer.toString(slice),
                        position(positions, ownership.releasing().get()));
            }
        }
        return new CompactSliceTable(
                table.pool(), table.version(), table.writer(), List.copyOf(positions.keySet()), owners, releasing);
    }

    SliceTable expand() {
        List<SliceOwnership> slices = new ArrayList<>();
        for (int slice = 0; slice < owners.size(); slice++) {
            int owner = owners.get(slice);
            slices.add(new SliceOwnership(
                    owner < 0 ? Optional.empty() : Optional.of(targets.get(owner)),
                    Optional.ofNullable(releasing.get(Integer.toString(slice))).map(targets::get)));
        }
        return new SliceTable(pool, version, writer, slices);
    }

    private static int position(Map<String, Integer> positions, String name) {
        return positions.computeIfAbsent(name, added -> positions.size());
    }
}
