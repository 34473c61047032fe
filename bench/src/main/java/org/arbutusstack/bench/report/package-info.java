/** Fits lines, draws plots and writes reports. */
package org.arbutusstack.bench.report;
