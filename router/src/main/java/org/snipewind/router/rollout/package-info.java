/** Roll-outs: which versions requests may use, evidence about versions, and the work of the leader. */
package org.snipewind.router.rollout;
