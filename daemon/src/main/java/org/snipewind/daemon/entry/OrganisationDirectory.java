package org.snipewind.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.Optional;
import org.snipewind.daemon.record.SharedRecords;
import org.snipewind.platform.configuration.ConfigurationRevision;
import org.snipewind.platform.configuration.OrganisationSettings;

/** Finds organisations by their keys in the configuration in force. */
public final class OrganisationDirectory {

    private final SharedRecords records;

    /**
     * Creates a directory.
     *
     * @param records records of this daemon
     */
    public OrganisationDirectory(SharedRecords records) {
        this.records = records;
    }

    /**
     * Computes the digest under which a key is configured.
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
     * Finds the organisation of a key; every configured digest is compared, each in constant time.
     *
     * @param digest digest of the key
     * @return name of the organisation, or empty if no organisation has the key
     */
    public Optional<String> organisationOf(String digest) {
        byte[] wanted = digest.getBytes(StandardCharsets.US_ASCII);
        Optional<String> found = Optional.empty();
        for (Map.Entry<String, OrganisationSettings> entry : organisations().entrySet()) {
            for (String known : entry.getValue().keys().values()) {
                if (MessageDigest.isEqual(wanted, known.getBytes(StandardCharsets.US_ASCII))) {
                    found = Optional.of(entry.getKey());
                }
            }
        }
        return found;
    }

    /**
     * Tells whether a key still belongs to an organisation.
     *
     * @param organisation name of the organisation, empty on routes open to all
     * @param digest digest of the key
     * @return true if the key is valid or none is needed
     */
    public boolean isValid(String organisation, String digest) {
        return organisation.isEmpty()
                || organisationOf(digest).filter(organisation::equals).isPresent();
    }

    /**
     * Gives the weight of an organisation at a full target.
     *
     * @param organisation name of the organisation
     * @return the weight, 1 if the organisation is not known
     */
    public int weightOf(String organisation) {
        OrganisationSettings settings = organisations().get(organisation);
        return settings == null ? 1 : settings.weight();
    }

    private Map<String, OrganisationSettings> organisations() {
        return records.configuration()
                .map(ConfigurationRevision::configuration)
                .map(configuration -> configuration.organisations())
                .orElse(Map.of());
    }
}
