/** Records claims and outcomes of non-idempotent calls in buckets of the key-value service. */
package org.arbutusstack.side.claim;
