/** Holds the daemon package. */
package org.arbutusstack.daemon;
