/** The model of the operators' configuration, its merge and its checks. */
package org.snipewind.clients.configuration;
