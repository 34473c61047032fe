/** Stand-ins for external systems. Each can run as a process or within a test. */
package org.arbutusstack.testkit;
