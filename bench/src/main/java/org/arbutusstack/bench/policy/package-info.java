/** Simulates placement and routing decisions in virtual time over a seeded trace. */
package org.arbutusstack.bench.policy;
