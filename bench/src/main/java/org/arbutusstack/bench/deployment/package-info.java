/** Runs the real daemons at the sizes of today against stand-ins, under load and faults. */
package org.arbutusstack.bench.deployment;
