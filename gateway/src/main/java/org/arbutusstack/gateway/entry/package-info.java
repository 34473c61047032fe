/** Puts the parts of an entry together on its loop. */
package org.arbutusstack.gateway.entry;
