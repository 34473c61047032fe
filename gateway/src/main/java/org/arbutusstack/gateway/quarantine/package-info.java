/** Quarantine for content that crashes runners: evidence of crashes, rules that follow from it, their record. */
package org.arbutusstack.gateway.quarantine;
