/**
 * What an instance knows of the fleet: a copy of the store, kept up by a watch or from peers, and the view drawn from
 * it.
 */
package org.snipewind.router.state;
