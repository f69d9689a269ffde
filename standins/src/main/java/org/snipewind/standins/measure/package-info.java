/** Measurements, each beside a baseline of the same run. */
package org.snipewind.standins.measure;
