/**
 * Rate limits over the whole fleet. A fixed fraction of an organisation's rate is split permanently over the instances,
 * so that requests are served while the token issuer can't be reached. The rest is issued centrally by one token
 * issuer, as short-lived tokens.
 */
package org.snipewind.coordination.quota;
