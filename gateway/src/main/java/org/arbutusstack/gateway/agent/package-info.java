/** Stands beside one runner: reads its state, tells the entries, and gives its orders. */
package org.arbutusstack.gateway.agent;
