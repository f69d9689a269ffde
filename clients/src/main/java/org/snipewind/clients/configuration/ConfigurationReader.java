package org.snipewind.clients.configuration;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Converts the merged YAML of a folder to the configuration and reports each field that is invalid by itself. */
final class ConfigurationReader {

    /** Maximum deadline that a caller may set; a longer one of a pool would never apply. */
    private static final long MAX_DEADLINE_MILLIS = 30_000;

    private static final long MAX_SLOTS = 10_000;
    private static final long MAX_ANSWERS_PER_STEP = 1_000_000;
    private static final long MAX_RATE_OR_BURST = 10_000_000;
    private static final long MAX_WEIGHT = 1_000;
    private static final Set<String> METHODS =
            new TreeSet<>(Set.of("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"));
    private static final Pattern KEY_SOURCE = Pattern.compile("(header|query) ([A-Za-z0-9_.-]+)|(path) ([1-9][0-9]?)");
    private static final Pattern PATH = Pattern.compile("/|(/[A-Za-z0-9._~%!$&'()*+,;=:@-]+)+");
    private static final Pattern DIGEST = Pattern.compile("[0-9a-fA-F]{64}");

    private ConfigurationReader() {}

    static FleetConfiguration read(YamlNode merged, List<ConfigurationProblem> problems) {
        FieldReader root = new FieldReader(merged, "", problems);
        Map<String, DataCentreSettings> dataCentres = root.namedMap("dataCentres", ConfigurationReader::readDataCentre);
        Map<String, PoolSettings> pools = root.namedMap("pools", ConfigurationReader::readPool);
        Map<String, RouteSettings> routes = root.namedMap("routes", ConfigurationReader::readRoute);
        Map<String, OrganisationSettings> organisations =
                root.namedMap("organisations", ConfigurationReader::readOrganisation);
        root.reportUnknown();
        return new FleetConfiguration(dataCentres, pools, routes, organisations);
    }

    private static DataCentreSettings readDataCentre(FieldReader reader) {
        return new DataCentreSettings(reader.name("region").orElse(""), reader.flag("inService", true));
    }

    private static PoolSettings readPool(FieldReader reader) {
        boolean divided = reader.flag("divided", false);
        boolean checksTokens = reader.flag("checksTokens", true);
        int slots = (int) reader.integer("slots", 1, MAX_SLOTS);
        long deadline = reader.integer("longestDeadlineMillis", 1, MAX_DEADLINE_MILLIS, 5_000);
        ColdStartSettings coldStart = reader.child("coldStart", false)
                .map(ConfigurationReader::readColdStart)
                .orElse(new ColdStartSettings(1, 20));
        return new PoolSettings(
                divided,
                checksTokens,
                slots,
                deadline,
                coldStart,
                reader.namedMap("targets", ConfigurationReader::readTarget));
    }

    private static ColdStartSettings readColdStart(FieldReader reader) {
        int concurrency = (int) reader.integer("concurrency", 1, MAX_SLOTS, 1);
        int answersPerStep = (int) reader.integer("answersPerStep", 1, MAX_ANSWERS_PER_STEP, 20);
        reader.reportUnknown();
        return new ColdStartSettings(concurrency, answersPerStep);
    }

    private static TargetSettings readTarget(FieldReader reader) {
        String expected = "an IP number and a port, such as 10.0.0.1:8080 or [fd00::1]:8080";
        Optional<String> address = reader.text("address", expected);
        address.filter(text -> !AddressSyntax.isValid(text))
                .ifPresent(text -> reader.report("address", "'" + text + "' is not an address, expected " + expected));
        return new TargetSettings(
                address.orElse(""), reader.name("dataCentre").orElse(""), reader.flag("drained", false));
    }

    private static RouteSettings readRoute(FieldReader reader) {
        String expected =
                "a path such as /reels, which begins with '/' and has neither an empty last segment nor a query";
        Optional<String> path = reader.text("path", expected);
        path.filter(text -> !PATH.matcher(text).matches())
                .ifPresent(text -> reader.report("path", "'" + text + "' is not a path prefix, expected " + expected));
        path.filter(text -> text.equals("/-") || text.startsWith("/-/"))
                .ifPresent(text -> reader.report("path", "'" + text + "' is reserved for operators, expected another"));
        return new RouteSettings(
                path.orElse(""),
                reader.name("pool").orElse(""),
                readKeySource(reader),
                readMethods(reader),
                reader.flag("urgent", false),
                reader.child("open", false).map(open -> {
                    BudgetSettings budget = readBudget(open);
                    open.reportUnknown();
                    return budget;
                }));
    }

    private static Optional<KeySource> readKeySource(FieldReader reader) {
        if (!reader.has("key")) {
            return Optional.empty();
        }
        String expected = "'header NAME', 'path SEGMENT' with a number from 1 to 99, or 'query NAME'";
        return reader.text("key", expected).flatMap(text -> {
            Matcher matcher = KEY_SOURCE.matcher(text);
            if (!matcher.matches()) {
                reader.report("key", "'" + text + "' is not a place in a request, expected " + expected);
                return Optional.empty();
            }
            int group = matcher.group(1) != null ? 1 : 3;
            KeySource.Kind kind = KeySource.Kind.valueOf(matcher.group(group).toUpperCase(Locale.ROOT));
            return Optional.of(new KeySource(kind, matcher.group(group + 1)));
        });
    }

    private static Set<String> readMethods(FieldReader reader) {
        String expected = "a list of " + String.join(", ", METHODS);
        Set<String> methods = new TreeSet<>(reader.textList("idempotentMethods", expected));
        methods.stream()
                .filter(method -> !METHODS.contains(method))
                .forEach(method -> reader.report(
                        "idempotentMethods", "'" + method + "' is not a known method, expected " + expected));
        return methods;
    }

    private static BudgetSettings readBudget(FieldReader reader) {
        return new BudgetSettings(
                reader.positiveNumber("rate", MAX_RATE_OR_BURST), (int) reader.integer("burst", 1, MAX_RATE_OR_BURST));
    }

    private static OrganisationSettings readOrganisation(FieldReader reader) {
        BudgetSettings budget = readBudget(reader);
        int weight = (int) reader.integer("weight", 1, MAX_WEIGHT, 1);
        Map<String, String> keys = new LinkedHashMap<>();
        reader.child("keys", true)
                .ifPresent(section -> section.forEachNamedField(
                        (name, unused) -> readDigest(section, name).ifPresent(digest -> keys.put(name, digest))));
        return new OrganisationSettings(budget, weight, keys);
    }

    private static Optional<String> readDigest(FieldReader section, String name) {
        String expected = "the SHA-256 digest of the key in 64 hexadecimal digits";
        // The message omits the value, because it may be the key itself, written in place of its digest.
        return section.scalar(name, expected)
                .filter(digest -> {
                    boolean valid = DIGEST.matcher(digest).matches();
                    if (!valid) {
                        section.report(name, "not a digest, expected " + expected);
                    }
                    return valid;
                })
                .map(digest -> digest.toLowerCase(Locale.ROOT));
    }
}
