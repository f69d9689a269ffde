/**
 * Communication between the instances of the router: load reports to the leader, rate-limit tokens from it, broadcasts
 * of store changes, and snapshots of the store cache for instances that can't reach the store.
 */
package org.snipewind.router.peer;
