/** Command-line entry point of arbutusd: reads the settings and starts the services of one role. */
package org.arbutusstack.daemon;
