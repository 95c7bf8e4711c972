/** Whether an entry knows from others that the log has records that it has not read yet. */
import { beforeLog, isBefore, type LogPosition } from '../log-position.js'

/** Time for which a report counts, milliseconds: a node whose offsets are wrong must not keep requests from being refused for good. */
const reportMilliseconds = 10_000

/** Positions up to which other nodes have read one stream; times are milliseconds of the monotonic clock. */
export class KnownLag {
  private highest = beforeLog
  private highestSince = -Infinity

  /** Records that another node has read the records before `next`. */
  observe (next: LogPosition, now: number): void {
    if (!isBefore(this.highest, next)) return
    this.highest = next
    this.highestSince = now
  }

  /** Whether others have read further than `next`. */
  isBehind (next: LogPosition, now: number): boolean {
    return isBefore(next, this.highest) && now - this.highestSince < reportMilliseconds
  }
}
