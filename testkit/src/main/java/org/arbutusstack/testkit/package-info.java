/** Holds stand-ins for the outside systems, each of which can run as a process or within a test. */
package org.arbutusstack.testkit;
