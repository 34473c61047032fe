/** Reads the resource use of processes and the load of the machine. */
package org.arbutusstack.bench.process;
