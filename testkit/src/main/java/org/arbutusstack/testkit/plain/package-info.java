/** Stand-in for a plain service. */
package org.arbutusstack.testkit.plain;
