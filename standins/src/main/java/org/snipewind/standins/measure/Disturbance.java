package org.snipewind.standins.measure;

import org.snipewind.standins.deployment.Deployment;

/** What happens to a deployment while a trace is replayed. */
@FunctionalInterface
interface Disturbance {

    Disturbance NONE = deployment -> {};

    /** Runs beside the replay and is interrupted at its end. */
    void run(Deployment deployment) throws InterruptedException;
}
