/** Reads what processes use of the machine. */
package org.arbutusstack.bench.process;
