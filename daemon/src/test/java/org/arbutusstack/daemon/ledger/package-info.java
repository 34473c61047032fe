/** Tests the ticket log through real processes. */
package org.arbutusstack.daemon.ledger;
