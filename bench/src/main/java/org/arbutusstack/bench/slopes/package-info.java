/** Measures how the use of processor, memory and network grows with links, models, tickets, hosts and requests. */
package org.arbutusstack.bench.slopes;
