/** Reads settings from flags and environment variables and checks them all before a process starts. */
package org.arbutusstack.kernel.setting;
