/** Wrapper of the HTTP library for the system's own calls and listeners. */
package org.arbutusstack.http;
