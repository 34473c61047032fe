/** Selection of the runner for each request; performs no I/O. */
package org.arbutusstack.routing;
