/** Collections with bounds. */
package org.arbutusstack.kernel.collect;
