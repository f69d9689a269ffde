/** Status that a daemon reports to operators. */
package org.snipewind.clients.status;
