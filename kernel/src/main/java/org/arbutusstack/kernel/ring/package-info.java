/** Event loops that exchange messages through bounded ring buffers. */
package org.arbutusstack.kernel.ring;
