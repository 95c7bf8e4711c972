/** What one agent knows of the origin while it fetches a version: since when it sends, how much has left it, and when to ask it again after a failure. */

/** Backoff of the agents that look for the return of the origin, milliseconds. */
const probeMilliseconds = 100
/** Backoff of the others after the first failure, which doubles with each consecutive failure, and its maximum, milliseconds. */
const backoffMilliseconds = { first: 300, maximum: 1200 } as const
/** Places in the order of missing chunks whose primary fetchers look for the return of the origin. */
const probedPlaces = 3
/** Time without a new chunk anywhere after which the origin counts as having paused, in copy times: several times what announcements take. */
const pauseCopies = 0.5

/** State of the origin as one fetch of a version sees it; all times are milliseconds of the monotonic clock. */
export class OriginState {
  /** Consecutive failed requests. */
  private failures = 0
  /** Chunks that some agent held when the origin was last expected to start sending. */
  private knownBefore: number
  private currentRetryAt = 0
  /** Most chunks that were known to be held by some agent, and since when. */
  private most: { readonly known: number, readonly at: number }

  /** `since`: when the version is wanted; `known`: number of chunks that some agent holds then; `copyMilliseconds`: time of one copy on the origin's link. */
  constructor (private currentSince: number, known: number, private readonly copyMilliseconds: number) {
    this.knownBefore = known
    this.most = { known, at: currentSince }
  }

  /** Since when the origin is expected to send: since the version is wanted, or since it failed or answered again. */
  get since (): number {
    return this.currentSince
  }

  /** Before this time nothing is requested from the origin. */
  get retryAt (): number {
    return this.currentRetryAt
  }

  /** Whether the last request to it failed, and nothing shows that it has answered another agent since. */
  get isAway (): boolean {
    return this.failures > 0
  }

  /** Number of chunks that have left the origin since `since`, when some agent holds `known` chunks now. */
  sent (known: number): number {
    return Math.max(0, known - this.knownBefore)
  }

  /** Takes a failed request for the chunk at `place` in the order of missing chunks; `isPrimary` for its primary fetcher. */
  recordFailure (now: number, known: number, place: number, isPrimary: boolean): void {
    const isProbe = isPrimary && place < probedPlaces
    this.currentRetryAt = now + (isProbe ? probeMilliseconds : Math.min(backoffMilliseconds.maximum, backoffMilliseconds.first * 2 ** this.failures))
    this.failures += 1
    this.currentSince = now
    this.knownBefore = known
  }

  /**
   * Takes the number of chunks that some agent holds. More than before show that the origin answers again after failures
   * here, or after a pause: all delays from before it have passed, and all agents would ask at once. True if so.
   */
  observe (now: number, known: number): boolean {
    if (known <= this.most.known) return false
    const isReturn = this.failures > 0 || now - this.most.at > pauseCopies * this.copyMilliseconds
    this.most = { known, at: now }
    if (!isReturn) return false
    this.failures = 0
    this.currentRetryAt = 0
    this.currentSince = now
    this.knownBefore = known
    return true
  }
}
