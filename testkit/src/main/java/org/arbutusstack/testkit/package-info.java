/** Holds the testkit package. */
package org.arbutusstack.testkit;
