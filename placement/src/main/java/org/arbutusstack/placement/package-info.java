/** Decides which runner holds which models and accounts for accelerator memory; does no I/O. */
package org.arbutusstack.placement;
