/** Stand-in for the key-value service. */
package org.arbutusstack.testkit.kv;
