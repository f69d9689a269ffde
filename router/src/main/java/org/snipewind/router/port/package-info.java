/** What the router needs of the platform it runs on; an adapter implements it. */
package org.snipewind.router.port;
