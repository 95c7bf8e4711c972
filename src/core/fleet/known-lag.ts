/** Whether an entry knows from others that the log has records that it has not read yet. */

/** Time for which a report counts, milliseconds: a node whose offsets are wrong must not keep requests from being refused for good. */
const reportMilliseconds = 10_000

/** Offsets of one stream that other nodes have read; times are milliseconds of the monotonic clock. */
export class KnownLag {
  private highest = -1
  private highestSince = -Infinity

  /** Records that another node has read the records before `next`. */
  observe (next: number, now: number): void {
    if (next <= this.highest) return
    this.highest = next
    this.highestSince = now
  }

  /** Whether others have read further than `next`. */
  isBehind (next: number, now: number): boolean {
    return this.highest > next && now - this.highestSince < reportMilliseconds
  }
}
