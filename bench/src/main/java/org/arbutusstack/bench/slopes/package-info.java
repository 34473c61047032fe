/** Measures how the use of CPU, memory and network grows with links, models, tickets, hosts and requests. */
package org.arbutusstack.bench.slopes;
