/** Limits of requests a second that upstreams name in their answers, for all entries together. */

/** What an entry knows of an upstream's limit; times in milliseconds of the monotonic clock. */
export interface KnownLimit {
  /** Epoch milliseconds of the upstream's start; a restarted process has no limit until it names one. */
  readonly startedAt: number
  /** Requests a second from all entries together; undefined when it has been lifted. */
  readonly perSecond: number | undefined
  /** When it was certainly in force: receipt of an answer with it, or the sending of the request whose answer loosened it. */
  readonly observedAt: number
  /** Limit before it was lifted; undefined while there is one. */
  readonly liftedFrom: number | undefined
}

/** An answer's statement about the limit; times in milliseconds of the monotonic clock. */
export interface LimitObservation {
  readonly startedAt: number
  /** Undefined for an answer that names no limit. */
  readonly perSecond: number | undefined
  /** When the request was sent, which is certainly before the upstream made its answer. */
  readonly sentAt: number
  readonly now: number
}

/** A limit as entries tell each other. */
export interface GossipedLimit {
  readonly upstreamId: string
  readonly startedAt: number
  /** Undefined for a lifted limit. */
  readonly perSecond: number | undefined
  /** Time since it was observed, milliseconds. */
  readonly ageMilliseconds: number
}

/** Requests a second to an upstream that takes none: they find out when that ends. */
const trialsPerSecond = 0.1
/** Time for which a lifted limit is remembered, milliseconds: until all entries have heard of it, and longer than the ramp after it. */
const liftedRetentionMilliseconds = 10_000
/** After a limit is lifted the rate doubles in each such time, milliseconds, so that queued requests of all entries do not arrive at once. */
const doublingMilliseconds = 400
/** Doublings after which the rate is no longer limited. */
const rampDoublings = 6
/** Delay of messages between entries, by which a limit may seem to have been observed later than it was, milliseconds. */
const gossipDelayMilliseconds = 500

/** Limits of all upstreams as one entry knows them. */
export class NamedLimits {
  private readonly known = new Map<string, KnownLimit>()

  /** Applies an answer; whether the limit changed. A lower limit applies at once. A higher one, or none, applies only if the request was sent after the last sign of the lower one: answers may overtake each other. */
  observe (upstreamId: string, observation: LimitObservation): boolean {
    const { startedAt, perSecond, sentAt, now } = observation
    const known = this.currentOf(upstreamId, startedAt)
    if (known?.perSecond === undefined && perSecond === undefined) return false
    const isLooser = isLooserThan(perSecond, known?.perSecond)
    if (known !== undefined && isLooser && sentAt <= known.observedAt) return false
    this.put(upstreamId, { startedAt, perSecond, observedAt: isLooser ? sentAt : now }, known)
    return perSecond !== known?.perSecond
  }

  /** Applies what another entry knows, if it is newer; whether the limit changed. */
  merge (limit: GossipedLimit, startedAt: number, now: number): boolean {
    if (limit.startedAt !== startedAt) return false
    const known = this.currentOf(limit.upstreamId, startedAt)
    const observedAt = now - limit.ageMilliseconds
    if (known === undefined) {
      if (limit.perSecond === undefined) return false
    } else {
      const margin = isLooserThan(limit.perSecond, known.perSecond) ? gossipDelayMilliseconds : 0
      if (observedAt <= known.observedAt + margin) return false
    }
    this.put(limit.upstreamId, { startedAt, perSecond: limit.perSecond, observedAt }, known)
    return limit.perSecond !== known?.perSecond
  }

  /** Requests a second that an upstream takes now; undefined for any number. */
  rateOf (upstreamId: string, startedAt: number, now: number): number | undefined {
    const known = this.currentOf(upstreamId, startedAt)
    if (known === undefined) return undefined
    if (known.perSecond !== undefined) return Math.max(known.perSecond, trialsPerSecond)
    const doublings = Math.max(0, now - known.observedAt) / doublingMilliseconds
    return known.liftedFrom === undefined || doublings >= rampDoublings ? undefined : Math.max(known.liftedFrom, 1) * 2 ** doublings
  }

  /** What to tell another entry of an upstream's limit; undefined where none is known. */
  describe (upstreamId: string, startedAt: number, now: number): GossipedLimit | undefined {
    const known = this.currentOf(upstreamId, startedAt)
    return known === undefined ? undefined : toGossip(upstreamId, known, now)
  }

  /** All limits, and those lifted lately; deletes those lifted long ago. */
  all (now: number): readonly GossipedLimit[] {
    for (const [upstreamId, { perSecond, observedAt }] of this.known) {
      if (perSecond === undefined && now - observedAt > liftedRetentionMilliseconds) this.known.delete(upstreamId)
    }
    return [...this.known].map(([upstreamId, known]) => toGossip(upstreamId, known, now))
  }

  /** Deletes the limit of an upstream that was removed. */
  forget (upstreamId: string): void {
    this.known.delete(upstreamId)
  }

  private currentOf (upstreamId: string, startedAt: number): KnownLimit | undefined {
    const known = this.known.get(upstreamId)
    return known?.startedAt === startedAt ? known : undefined
  }

  private put (upstreamId: string, limit: Omit<KnownLimit, 'liftedFrom'>, before: KnownLimit | undefined): void {
    const liftedFrom = limit.perSecond === undefined ? before?.perSecond ?? before?.liftedFrom : undefined
    this.known.set(upstreamId, { ...limit, liftedFrom })
  }
}

/** Whether one limit allows more than another; undefined allows any number. */
function isLooserThan (perSecond: number | undefined, other: number | undefined): boolean {
  return (perSecond ?? Infinity) > (other ?? Infinity)
}

function toGossip (upstreamId: string, { startedAt, perSecond, observedAt }: KnownLimit, now: number): GossipedLimit {
  return { upstreamId, startedAt, perSecond, ageMilliseconds: Math.max(0, Math.round(now - observedAt)) }
}
