/** Client of the platform's list of instances. */
package org.snipewind.clients.instances;
