/** Abstraction of the platform's key-value service: single-key compare-and-swap, leases and watches. */
package org.arbutusstack.store;
