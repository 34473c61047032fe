/** Records claims and outcomes of calls that may not be repeated in buckets of the key-value service. */
package org.arbutusstack.side.claim;
