/**
 * Leader election and the work of the leader: assigning keys to targets and issuing the centrally held part of the
 * organisations' rates.
 */
package org.snipewind.router.lead;
