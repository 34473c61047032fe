/** Decides which runner a request goes to; does no I/O. */
package org.arbutusstack.routing;
