/** The client of a target: grants, requests, health and cancellation. */
package org.snipewind.clients.target;
