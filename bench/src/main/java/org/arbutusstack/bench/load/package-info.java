/** Sends requests at scheduled times, independent of earlier answers, and records the outcome of each. */
package org.arbutusstack.bench.load;
