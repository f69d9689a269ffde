package org.snipewind.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.snipewind.clients.configuration.ConfigurationRevision;
import org.snipewind.clients.configuration.OrganisationSettings;
import org.snipewind.daemon.record.RecordCache;

/** Finds organisations by their keys in the current configuration. */
public final class OrganisationDirectory {

    private final RecordCache records;
    private volatile KeyIndex index = new KeyIndex(-1, Map.of());

    @SuppressWarnings("ArrayRecordComponent")
    private record IndexedKey(String organisation, byte[] digest) {}

    private record KeyIndex(long revision, Map<String, IndexedKey> keys) {}

    /**
     * Creates a directory.
     *
     * @param records records of this daemon
     */
    public OrganisationDirectory(RecordCache records) {
        this.records = records;
    }

    /**
     * Computes the digest of a key, as the configuration holds it instead of the key.
     *
     * @param key the key that a caller sent
     * @return SHA-256 in lower-case hexadecimal
     */
    public static String digest(String key) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * Finds the organisation of a key.
     *
     * @param digest digest of the key
     * @return name of the organisation, or empty if the key belongs to none
     */
    public Optional<String> organisationOf(String digest) {
        IndexedKey known = currentKeys().get(digest);
        // The time of the lookup depends only on the digest, from which the key can't be recovered. The comparison
        // takes constant time.
        return known != null && MessageDigest.isEqual(known.digest(), digest.getBytes(StandardCharsets.US_ASCII))
                ? Optional.of(known.organisation())
                : Optional.empty();
    }

    /**
     * Returns whether a key belongs to an organisation in the current configuration.
     *
     * @param organisation name of the organisation, empty on routes open to all
     * @param digest digest of the key
     * @return true if the key is valid or none is needed
     */
    public boolean isKeyValid(String organisation, String digest) {
        return organisation.isEmpty()
                || organisationOf(digest).filter(organisation::equals).isPresent();
    }

    /**
     * Returns the weight of an organisation in the queue of a target.
     *
     * @param organisation name of the organisation
     * @return the weight, 1 if the organisation is not known
     */
    public int weightOf(String organisation) {
        OrganisationSettings settings = organisations().get(organisation);
        return settings == null ? 1 : settings.weight();
    }

    private Map<String, IndexedKey> currentKeys() {
        Optional<ConfigurationRevision> current = records.configuration();
        KeyIndex known = index;
        if (current.isPresent() && current.get().revision() != known.revision()) {
            known = buildIndex(current.get());
            index = known;
        }
        return known.keys();
    }

    private static KeyIndex buildIndex(ConfigurationRevision revision) {
        Map<String, IndexedKey> keys = new HashMap<>();
        revision.configuration()
                .organisations()
                .forEach((organisation, settings) -> settings.keys()
                        .values()
                        .forEach(digest -> keys.put(
                                digest, new IndexedKey(organisation, digest.getBytes(StandardCharsets.US_ASCII)))));
        return new KeyIndex(revision.revision(), keys);
    }

    private Map<String, OrganisationSettings> organisations() {
        return records.configuration()
                .map(ConfigurationRevision::configuration)
                .map(configuration -> configuration.organisations())
                .orElse(Map.of());
    }
}
