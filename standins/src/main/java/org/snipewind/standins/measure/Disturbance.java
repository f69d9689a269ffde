package org.snipewind.standins.measure;

import org.snipewind.standins.deployment.Deployment;

/** Changes or faults applied to a deployment while a trace is replayed. */
@FunctionalInterface
interface Disturbance {

    Disturbance NONE = deployment -> {};

    /** Runs concurrently with the replay; the thread is interrupted when the replay ends. */
    void run(Deployment deployment) throws InterruptedException;
}
