/** Placement of models on runners and accounting of accelerator memory; performs no I/O. */
package org.arbutusstack.placement;
