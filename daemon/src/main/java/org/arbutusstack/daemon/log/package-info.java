/** Writes log lines without holding up the duties that log. */
package org.arbutusstack.daemon.log;
