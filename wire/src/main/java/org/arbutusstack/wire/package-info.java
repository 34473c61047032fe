/** Holds the wire package. */
package org.arbutusstack.wire;
