/** The operators' configuration as the router uses it: routes, pools, organisations and limits. */
package org.snipewind.coordination.routing;
