/** Runs the real daemons against stand-ins at the sizes of the existing deployments, under load and faults. */
package org.arbutusstack.bench.deployment;
