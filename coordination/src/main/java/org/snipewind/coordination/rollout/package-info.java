/** Decisions about moving the requests of a pool from one version of its targets to another. */
package org.snipewind.coordination.rollout;
