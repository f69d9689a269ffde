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
 * Stored form of a slice table, which holds the name of each target once and refers to it by its position.
 *
 * @param pool name of the pool
 * @param version version of the table
 * @param writer unique id of the write that stored the table
 * @param targets names of the targets
 * @param owners position in {@code targets} of the owner of each slice, -1 for none
 * @param releasing position in {@code targets} of the previous owner, by slice, only for slices that are being released
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

    SliceTable toSliceTable() {
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
