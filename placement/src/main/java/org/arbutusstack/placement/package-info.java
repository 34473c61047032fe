/** Holds the placement package. */
package org.arbutusstack.placement;
