/** Stand-in for model engines. */
package org.arbutusstack.testkit.engine;
