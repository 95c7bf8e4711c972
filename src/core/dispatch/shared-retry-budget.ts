/** Retry budget of a service. The entries divide it without coordination: each stays within its own share. */

/** Limits over one window, all entries together. */
export interface RetryBounds {
  /** Retries for each request of a service. */
  readonly share: number
  /** Retries in addition to that. */
  readonly slack: number
  readonly windowMilliseconds: number
}

/** Share of the limits that entries use; the rest covers entries not yet known here, such as one just added. */
const usedShare = 0.6
/** Resolution of the sliding window. */
const slicesPerWindow = 10

interface Slice { readonly index: number, requests: number, retries: number }

/** Requests and retries of each service over a sliding window; times in milliseconds of the monotonic clock. */
export class SharedRetryBudget {
  private readonly services = new Map<string, Slice[]>()

  constructor (private readonly bounds: RetryBounds) {}

  /** Records a caller's request, which adds to the budget. */
  recordRequest (service: string, now: number): void {
    this.slice(service, now).requests += 1
  }

  /** Takes one retry; false when the share of this entry, one of `entries`, is used up. */
  take (service: string, entries: number, now: number): boolean {
    if (!this.hasRetry(service, entries, now)) return false
    this.slice(service, now).retries += 1
    return true
  }

  /** Whether `take` would allow a retry. */
  hasRetry (service: string, entries: number, now: number): boolean {
    this.slice(service, now)
    const recent = this.services.get(service) ?? []
    const requests = recent.reduce((sum, { requests }) => sum + requests, 0)
    const retries = recent.reduce((sum, { retries }) => sum + retries, 0)
    const maximumRetries = usedShare * (this.bounds.share * requests + this.bounds.slack / Math.max(1, entries))
    return retries + 1 <= maximumRetries
  }

  private slice (service: string, now: number): Slice {
    const index = Math.floor(now / (this.bounds.windowMilliseconds / slicesPerWindow))
    const recent = (this.services.get(service) ?? []).filter(slice => slice.index > index - slicesPerWindow)
    const last = recent.at(-1)
    const slice = last?.index === index ? last : { index, requests: 0, retries: 0 }
    this.services.set(service, slice === last ? recent : [...recent, slice])
    return slice
  }
}
