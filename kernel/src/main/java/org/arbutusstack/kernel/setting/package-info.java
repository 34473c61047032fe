/** Settings that are read from flags and environment variables and validated before a process starts. */
package org.arbutusstack.kernel.setting;
