/**
 * Stand-ins for the platform's metadata store and runners, with the faults that the specification of the platform
 * names.
 */
package org.arbutusstack.testkit.platform;
