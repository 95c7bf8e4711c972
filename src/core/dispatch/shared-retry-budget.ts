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
const usedShare = 0.6
/** Steps into which a window is cut. */
const slicesPerWindow = 10

interface Slice { readonly index: number, requests: number, retries: number }

/** Requests and repeats of each service over the last window. */
export class SharedRetryBudget {
  private readonly services = new Map<string, Slice[]>()

  constructor (private readonly bounds: RetryBounds) {}

  /** Notes a caller's request at `now`, steady milliseconds. */
  recordRequest (service: string, now: number): void {
    this.slice(service, now).requests += 1
  }

  /** Takes one repeat; false when this entry's part, of `entries`, is spent. */
  take (service: string, entries: number, now: number): boolean {
    const step = this.slice(service, now)
    const recent = this.services.get(service) ?? []
    const requests = recent.reduce((sum, { requests }) => sum + requests, 0)
    const repeats = recent.reduce((sum, { retries: repeats }) => sum + repeats, 0)
    const most = usedShare * (this.bounds.share * requests + this.bounds.slack / Math.max(1, entries))
    if (repeats + 1 > most) return false
    step.retries += 1
    return true
  }

  private slice (service: string, now: number): Slice {
    const index = Math.floor(now / (this.bounds.windowMilliseconds / slicesPerWindow))
    const recent = (this.services.get(service) ?? []).filter(step => step.index > index - slicesPerWindow)
    const last = recent.at(-1)
    const step = last?.index === index ? last : { index, requests: 0, retries: 0 }
    this.services.set(service, step === last ? recent : [...recent, step])
    return step
  }
}
