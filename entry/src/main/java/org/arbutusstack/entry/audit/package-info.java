/** Access to audit anchors for operators. */
package org.arbutusstack.entry.audit;
