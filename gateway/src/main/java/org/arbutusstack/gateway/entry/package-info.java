/** Assembles the components of an entry and runs them on its event loop. */
package org.arbutusstack.gateway.entry;
