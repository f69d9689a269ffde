/**
 * Exclusive assignment of a pool's keys to targets: the table of holders, the request rates of keys, and the planning
 * of moves.
 *
 * <p>The scheme follows Slicer (OSDI 2016): a central table of key ranges that one instance at a time changes, with
 * leases at the targets, and epochs that fence off late ownership requests (Chubby, OSDI 2006; Gray and Cheriton, SOSP
 * 1989).
 */
package org.snipewind.coordination.keyspace;
