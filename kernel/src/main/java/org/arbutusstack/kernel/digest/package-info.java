/** Content digests. */
package org.arbutusstack.kernel.digest;
