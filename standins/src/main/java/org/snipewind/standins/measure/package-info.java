/** Measurements, each with a baseline that is measured in the same run. */
package org.snipewind.standins.measure;
