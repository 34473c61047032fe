/** Computes the resource use of each role at the planned size from measured slopes. */
package org.arbutusstack.bench.capacity;
