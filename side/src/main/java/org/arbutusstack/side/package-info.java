/** Holds the side package. */
package org.arbutusstack.side;
