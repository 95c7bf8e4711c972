/** The shortest time to a first byte seen lately: a deadline before that cannot be made. */

const windowMilliseconds = 10_000

interface SampleWindow {
  /** Epoch milliseconds at which the window began. */
  readonly from: number
  readonly shortest: number
  /** Shortest time of the window before. */
  readonly previousShortest: number
}

/** Times to the first byte, for each service over the last one or two windows; without a sample every deadline counts as makeable. */
export class FirstByteTracker {
  private readonly windows = new Map<string, SampleWindow>()

  /** Notes `milliseconds` to a first byte at `now`, epoch milliseconds. */
  record (service: string, milliseconds: number, now: number): void {
    const window = this.current(service, now)
    this.windows.set(service, { ...window, shortest: Math.min(window.shortest, milliseconds) })
  }

  /** Whether a first byte can come before `deadline`; both in epoch milliseconds. */
  canMeet (service: string, deadline: number, now: number): boolean {
    const { shortest, previousShortest: before } = this.current(service, now)
    const least = Math.min(shortest, before)
    return now + (Number.isFinite(least) ? least : 0) < deadline
  }

  private current (service: string, now: number): SampleWindow {
    const window = this.windows.get(service)
    if (window === undefined || now >= window.from + 2 * windowMilliseconds) return { from: now, shortest: Infinity, previousShortest: Infinity }
    if (now < window.from + windowMilliseconds) return window
    return { from: window.from + windowMilliseconds, shortest: Infinity, previousShortest: window.shortest }
  }
}
