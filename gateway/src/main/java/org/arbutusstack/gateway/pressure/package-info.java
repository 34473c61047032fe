/** Backpressure: the memory that an entry holds for callers and runners that are slow, and the bounds on it. */
package org.arbutusstack.gateway.pressure;
