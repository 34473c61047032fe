/** Listens for callers. */
package org.arbutusstack.entry.caller;
