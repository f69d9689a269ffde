/** Client of a target: grants, requests and cancellation. */
package org.snipewind.clients.target;
