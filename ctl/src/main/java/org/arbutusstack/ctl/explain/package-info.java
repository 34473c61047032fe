/** Tells what became of a request, from the log lines of all processes. */
package org.arbutusstack.ctl.explain;
