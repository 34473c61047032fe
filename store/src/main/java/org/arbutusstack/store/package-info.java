/** Defines what the system needs of the platform's key-value service: single-key compare-and-swap, leases, watches. */
package org.arbutusstack.store;
