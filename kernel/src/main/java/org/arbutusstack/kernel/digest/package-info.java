/** Computes digests of content. */
package org.arbutusstack.kernel.digest;
