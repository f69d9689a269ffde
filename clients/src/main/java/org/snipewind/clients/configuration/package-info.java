/** Model of the operators' configuration, and its reading, merging, validation and storage. */
package org.snipewind.clients.configuration;
