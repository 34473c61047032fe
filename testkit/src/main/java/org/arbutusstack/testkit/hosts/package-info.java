/** Stand-in for the platform's host list. */
package org.arbutusstack.testkit.hosts;
