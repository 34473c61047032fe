/** Holds the arbutusd binary. */
package org.arbutusstack.daemon;
