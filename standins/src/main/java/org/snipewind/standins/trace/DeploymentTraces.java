package org.snipewind.standins.trace;

import java.util.List;

/** Shapes of the traces of the sample deployments; the mean load is half of each organisation's configured rate. */
public final class DeploymentTraces {

    private static final int ENTRY_INSTANCES = 9;
    private static final long DURATION_MILLIS = 6_000;
    private static final double RATE_FACTOR = 0.5;

    private DeploymentTraces() {}

    /**
     * Returns the shape for the sample deployment of a voice casting service.
     *
     * @return loads of Voces del Plata
     */
    public static TraceShape vocesDelPlata() {
        List<OrganisationLoad> organisations = List.of(
                new OrganisationLoad("estudio-norte", 120),
                new OrganisationLoad("radio-litoral", 100),
                new OrganisationLoad("doblajes-pampa", 80),
                new OrganisationLoad("voz-y-cine", 40),
                new OrganisationLoad("audiolibros-sur", 30),
                new OrganisationLoad("cabina-uno", 20),
                new OrganisationLoad("teatro-del-rio", 15),
                new OrganisationLoad("locutores-unidos", 15));
        List<RouteLoad> routes = List.of(
                new RouteLoad("/reels", 0.5, false, 0.05, 2_000, 6, 2_000),
                new RouteLoad("/agenda", 0.2, false, 0.2, 500, 8, 3_000),
                new RouteLoad("/contratos", 0.1, false, 0.6, 300, 12, 5_000),
                new RouteLoad("/disponible", 0.2, true, 0, 500, 4, 1_000));
        return shape(organisations, routes);
    }

    /**
     * Returns the shape for the sample deployment of a water delivery service.
     *
     * @return loads of Jalsetu
     */
    public static TraceShape jalsetu() {
        List<OrganisationLoad> organisations = List.of(
                new OrganisationLoad("rajkot-waters", 120),
                new OrganisationLoad("jamnagar-tankers", 100),
                new OrganisationLoad("morbi-ceramics", 80),
                new OrganisationLoad("civil-hospital", 60),
                new OrganisationLoad("kutch-cooperative", 30),
                new OrganisationLoad("gondal-schools", 20),
                new OrganisationLoad("dwarka-hotels", 20),
                new OrganisationLoad("wankaner-mills", 15));
        List<RouteLoad> routes = List.of(
                new RouteLoad("/route-sheets", 0.45, false, 0.05, 2_000, 6, 3_000),
                new RouteLoad("/orders", 0.25, false, 0.3, 500, 8, 5_000),
                new RouteLoad("/ledger", 0.15, false, 0.6, 300, 12, 5_000),
                new RouteLoad("/priority", 0.15, true, 0, 300, 5, 2_000));
        return shape(organisations, routes);
    }

    private static TraceShape shape(List<OrganisationLoad> organisations, List<RouteLoad> routes) {
        return new TraceShape(organisations, routes, ENTRY_INSTANCES, 1, DURATION_MILLIS)
                .withScaledRates(name -> RATE_FACTOR);
    }
}
