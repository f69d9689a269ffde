/** Measurements of the system on stand-ins. */
package org.snipewind.standins.measure;
