/** Stands in for the users' platform: its store and its runners, with the faults that their pages name. */
package org.arbutusstack.testkit.platform;
