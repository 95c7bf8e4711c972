/** Budget of repeats that all entries share: each entry keeps to its own part without asking the others. */

/** Bounds over one window, all entries together. */
export interface RetryBounds {
  /** Repeats for each request of a service. */
  readonly share: number
  /** Repeats on top of that. */
  readonly slack: number
  readonly windowMilliseconds: number
}

/** Part of the bounds that entries use: the rest covers entries that are not seen, such as one that was just added. */
const usedPart = 0.6
/** Steps into which a window is cut. */
const steps = 10

interface Step { readonly index: number, requests: number, repeats: number }

/** Requests and repeats of each service over the last window. */
export class SharedRetryBudget {
  private readonly services = new Map<string, Step[]>()

  constructor (private readonly bounds: RetryBounds) {}

  /** Notes a caller's request at `now`, steady milliseconds. */
  recordRequest (service: string, now: number): void {
    this.step(service, now).requests += 1
  }

  /** Takes one repeat; false when this entry's part, of `entries`, is spent. */
  take (service: string, entries: number, now: number): boolean {
    const step = this.step(service, now)
    const recent = this.services.get(service) ?? []
    const requests = recent.reduce((sum, { requests }) => sum + requests, 0)
    const repeats = recent.reduce((sum, { repeats }) => sum + repeats, 0)
    const most = usedPart * (this.bounds.share * requests + this.bounds.slack / Math.max(1, entries))
    if (repeats + 1 > most) return false
    step.repeats += 1
    return true
  }

  private step (service: string, now: number): Step {
    const index = Math.floor(now / (this.bounds.windowMilliseconds / steps))
    const recent = (this.services.get(service) ?? []).filter(step => step.index > index - steps)
    const last = recent.at(-1)
    const step = last?.index === index ? last : { index, requests: 0, repeats: 0 }
    this.services.set(service, step === last ? recent : [...recent, step])
    return step
  }
}
