/** Holds the store package. */
package org.arbutusstack.store;
