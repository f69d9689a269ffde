/** The operators' configuration in the form that the router uses: routes, pools, organisations and limits. */
package org.snipewind.coordination.routing;
