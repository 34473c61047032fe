/** Reconstruction of the course of a request from the log lines of all processes. */
package org.arbutusstack.ctl.explain;
