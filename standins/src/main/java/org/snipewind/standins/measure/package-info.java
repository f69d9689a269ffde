/** Measurements of whole deployments beside baselines of the same run. */
package org.snipewind.standins.measure;
