/**
 * Requests that callers repeat at once and often after refusals. Load pattern: some callers ignore Retry-After; their
 * repeats would take places in the queue and messages for slots from requests that come when they were told to.
 */

/** Refusals of the same request after which one that comes too early is a repeat: a caller that honours Retry-After is refused twice at most. */
const maximumRefusals = 2
/** Time by which a request may come early, milliseconds: rounding of Retry-After and timers of callers. */
const toleranceMilliseconds = 20
/** Time after which a refusal is forgotten, milliseconds: a caller that honours Retry-After has returned by then. */
const memoryMilliseconds = 3000
/** Refused requests that are remembered; the oldest are forgotten first. */
const maximumRemembered = 4096

interface RefusedRequest {
  readonly refusals: number
  readonly at: number
  /** When its caller was told to return. */
  readonly returnAt: number
}

/** Refused requests by fingerprint, as one entry remembers them; times in milliseconds of the monotonic clock. */
export class EarlyRepeats {
  private readonly refused = new Map<string, RefusedRequest>()

  /** Records that a request is refused and told to return at `returnAt`. A repeat that is refused for being early keeps the time that was told first. */
  recordRefused (fingerprint: string, now: number, returnAt: number): void {
    const refusals = (this.remembered(fingerprint, now)?.refusals ?? 0) + 1
    this.refused.delete(fingerprint)
    this.refused.set(fingerprint, { refusals, at: now, returnAt })
    const [oldest] = this.refused.keys()
    if (this.refused.size > maximumRemembered && oldest !== undefined) this.refused.delete(oldest)
  }

  /** When the caller of a repeat that comes too early was told to return; undefined for any other request. */
  returnTimeOf (fingerprint: string, now: number): number | undefined {
    const known = this.remembered(fingerprint, now)
    return known !== undefined && known.refusals >= maximumRefusals && now < known.returnAt - toleranceMilliseconds ? known.returnAt : undefined
  }

  private remembered (fingerprint: string, now: number): RefusedRequest | undefined {
    const known = this.refused.get(fingerprint)
    return known !== undefined && now - known.at <= memoryMilliseconds ? known : undefined
  }
}
