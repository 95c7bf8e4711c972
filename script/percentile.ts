/** Percentiles of small samples. */

/** Value below which `part` (0 to 1) of the sample lies, rounded; 0 for none. */
export function percentile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return Math.round(sorted[Math.floor(part * sorted.length)] ?? 0)
}
