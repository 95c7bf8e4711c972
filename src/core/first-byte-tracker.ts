/** Shortest recent time to the first byte of each service; an earlier deadline cannot be met. */

/** A sample counts for one to two windows. */
const windowMilliseconds = 10_000

interface SampleWindow {
  /** Start of the window, epoch milliseconds. */
  readonly from: number
  /** Shortest time in the window, milliseconds; `Infinity` without a sample. */
  readonly shortest: number
  /** Shortest time in the previous window, milliseconds; `Infinity` without a sample. */
  readonly previousShortest: number
}

/** Minimum time to the first byte of each service over the last one or two windows. */
export class FirstByteTracker {
  private readonly windows = new Map<string, SampleWindow>()

  /** Records a first byte that took `milliseconds`; `now` in epoch milliseconds. */
  record (service: string, milliseconds: number, now: number): void {
    const window = this.current(service, now)
    this.windows.set(service, { ...window, shortest: Math.min(window.shortest, milliseconds) })
  }

  /** Whether a first byte can arrive before `deadline`; always true without a sample, unless the deadline has passed. Epoch milliseconds. */
  canMeet (service: string, deadline: number, now: number): boolean {
    const { shortest, previousShortest } = this.current(service, now)
    const minimum = Math.min(shortest, previousShortest)
    return now + (Number.isFinite(minimum) ? minimum : 0) < deadline
  }

  private current (service: string, now: number): SampleWindow {
    const window = this.windows.get(service)
    if (window === undefined || now >= window.from + 2 * windowMilliseconds) return { from: now, shortest: Infinity, previousShortest: Infinity }
    if (now < window.from + windowMilliseconds) return window
    return { from: window.from + windowMilliseconds, shortest: Infinity, previousShortest: window.shortest }
  }
}
