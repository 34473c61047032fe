/** Runs the commands of the measuring tool. */
package org.arbutusstack.bench;
