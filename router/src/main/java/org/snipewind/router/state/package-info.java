/**
 * The state of the fleet at an instance: a cache of the store's items, kept current by a watch or by peers, and the
 * fleet view built from it.
 */
package org.snipewind.router.state;
