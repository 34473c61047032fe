/** Hash-chained audit records of tickets and requests, their anchors in the store, and their verification. */
package org.arbutusstack.audit;
