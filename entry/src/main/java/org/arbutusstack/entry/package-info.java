/** Holds the entry package. */
package org.arbutusstack.entry;
