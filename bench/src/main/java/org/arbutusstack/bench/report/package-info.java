/** Fits lines to measurements, draws plots and writes reports. */
package org.arbutusstack.bench.report;
