/** Chains records of changes and requests, anchors the chains and verifies collected records against the anchors. */
package org.arbutusstack.audit;
