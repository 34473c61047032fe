/** Holds the routing package. */
package org.arbutusstack.routing;
