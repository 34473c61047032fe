/** Reads the anchors of audit records for operators. */
package org.arbutusstack.entry.audit;
