/** HTTP listener for callers. */
package org.arbutusstack.entry.caller;
