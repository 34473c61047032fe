/** The bench tool: commands that measure deployments, daemons and policies. */
package org.arbutusstack.bench;
