/** Sends requests at given instants, whatever became of earlier ones, and records what became of each. */
package org.arbutusstack.bench.load;
