/** Interfaces between the router and the platform on which it runs, implemented by a platform adapter. */
package org.snipewind.router.port;
