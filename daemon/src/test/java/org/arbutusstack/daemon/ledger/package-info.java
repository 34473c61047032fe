/** Tests of the ticket log with real processes. */
package org.arbutusstack.daemon.ledger;
