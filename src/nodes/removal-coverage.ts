/**
 * Which removals a node can pass on. A node that read only the newest record of each key, or what another node had read, does
 * not know the keys that were written and removed in between, so it has no removals of them to pass on.
 */

/** Offsets strictly between these may have been read by others together with a key whose removal is not known here. */
interface Gap { readonly after: number, readonly before: number }

/** Gaps that are remembered one by one; older ones count as one up to the end of the latest of them. */
const maximumGaps = 64

/** Removals that one node knows of one era of a stream; numbers are offsets. */
export class RemovalCoverage {
  private completeFrom = 0
  private gaps: readonly Gap[] = []

  /** Records that everything from the offset `from` (negative for none) up to `next` was read as the newest record of each key. */
  recordNewest (from: number, next: number): void {
    if (from < 0) {
      this.completeFrom = Math.max(this.completeFrom, next)
      return
    }
    if (next - from < 2) return
    this.gaps = [...this.gaps, { after: from, before: next }]
    if (this.gaps.length <= maximumGaps) return
    this.completeFrom = Math.max(this.completeFrom, this.gaps[0]?.before ?? 0)
    this.gaps = this.gaps.slice(1)
  }

  /** Forgets what was known of the era before; everything up to `next` of the new one was read as the newest record of each key. */
  startEra (next: number): void {
    this.completeFrom = next
    this.gaps = []
  }

  /** Whether a node that has read up to the offset `from` learns of all removals since from this one. */
  isComplete (from: number): boolean {
    return from >= this.completeFrom && this.gaps.every(({ after, before }) => from <= after || from >= before)
  }
}
