/**
 * A rate of requests that all entries keep together, at any number of them. For each key one entry, the first by
 * rendezvous hashing, grants permits at that rate; every entry asks it for permits and sends only with one. Dividing the
 * rate among the entries instead would let each of them send its first request at once, which exceeds a low rate.
 */
import { RankingCache } from './ranking-cache.js'

/** The entries as one of them sees them. */
export interface FleetView {
  /** Instance of this entry. */
  readonly self: string
  /** Living entries that take callers, this one included if it does; all living ones where none does. */
  readonly ready: readonly string[]
  /** Entries that have sent nothing for a while without having announced a stop: dead, or cut off and still sending. */
  readonly silent: readonly string[]
  /** Whether this entry has had the time to learn of the others since its start. */
  readonly isSettled: boolean
}

/**
 * Share of a rate that an entry grants while another one may be granting too: a silent entry that ranks before it, or one
 * that it has not heard of yet. Both together stay within one and a half times the rate, bursts and unspent permits included.
 */
const disputedShare = 0.25

/** Chooses the entry that grants permits, and the share of the rate that it may grant; times in milliseconds of the monotonic clock. */
export class GrantingRanks {
  private readonly readyRanks = new RankingCache()
  private readonly silentRanks = new RankingCache()

  /** The entry that grants the permits of `key`. */
  grantorOf (key: string, fleet: FleetView, now: number): string {
    return this.readyRanks.rank(key, () => fleet.ready, now)[0] ?? fleet.self
  }

  /** Share of the rate that this entry may grant; 0 if another one grants. In a fleet that is cut apart the parts with their shares add up to no more than the rate and a disputed share for each other part. */
  grantedShare (key: string, fleet: FleetView, now: number): number {
    if (this.grantorOf(key, fleet, now) !== fleet.self) return 0
    if (!fleet.isSettled) return disputedShare
    if (fleet.silent.length === 0) return 1
    const isFirst = this.silentRanks.rank(key, () => [fleet.self, ...fleet.silent], now)[0] === fleet.self
    const livingShare = fleet.ready.length / (fleet.ready.length + fleet.silent.length)
    return isFirst ? livingShare : Math.min(livingShare, disputedShare)
  }

  /** Deletes the rankings of a key that was removed. */
  forget (key: string): void {
    this.readyRanks.forget(key)
    this.silentRanks.forget(key)
  }
}

/** A grantor's answer: a permit to send one request now, or when it makes sense to ask again, milliseconds of the monotonic clock. */
export type PermitGrant =
  | { readonly kind: 'granted' }
  | { readonly kind: 'denied', readonly retryAt: number }

const millisecondsPerSecond = 1000
/** Unused permits that a grantor keeps: this many, and those of this time. */
const burst = { requests: 2, milliseconds: 100 } as const

/** Grants permits of many keys at their rates (generic cell rate algorithm). None is granted ahead of its time: the request that it is for may be gone by then. */
export class PermitGrantor {
  /** When the next permit of each key may be granted; earlier than now while permits are unused. */
  private readonly nextAt = new Map<string, number>()

  /** Grants one permit at `perSecond`, above 0. A key without earlier permits has none unused. */
  grant (key: string, perSecond: number, now: number): PermitGrant {
    const interval = millisecondsPerSecond / perSecond
    const earliest = now - (burst.requests - 1) * interval - burst.milliseconds
    const next = Math.max(this.nextAt.get(key) ?? now + interval, earliest)
    const isGranted = next <= now
    this.nextAt.set(key, isGranted ? next + interval : next)
    return isGranted ? { kind: 'granted' } : { kind: 'denied', retryAt: next }
  }

  /** Forgets the permits of a key, so that it has none unused when it grants again. */
  forget (key: string): void {
    this.nextAt.delete(key)
  }
}

/** Time for which a permit is valid, milliseconds: several arrivals of an entry under load; an unused one is lost. */
const validityMilliseconds = 500
/** Time after which a request for permits counts as lost, milliseconds: many round trips between regions. */
const answerTimeoutMilliseconds = 150

interface Permits {
  /** When each unused permit ends, in ascending order. */
  readonly ends: readonly number[]
  /** Number of the request for a permit that has no answer yet, and when it counts as lost. */
  readonly pending: { readonly number: number, readonly until: number } | undefined
  /** When to ask next. */
  readonly askAt: number
  /** Whether the last request got no answer. */
  readonly isUnanswered: boolean
}

/** The permits that one entry holds; times in milliseconds of the monotonic clock. */
export class HeldPermits {
  private readonly permits = new Map<string, Permits>()
  private lastNumber = 0

  /** Whether a request may be sent now. */
  has (key: string, now: number): boolean {
    return this.validOf(key, now).length > 0
  }

  /** Uses the permit that ends first. */
  take (key: string, now: number): void {
    const permits = this.permits.get(key)
    if (permits !== undefined) this.permits.set(key, { ...permits, ends: this.validOf(key, now).slice(1) })
  }

  /** Number of a new request for a permit; undefined if enough are held, one is pending, or it is too early. */
  ask (key: string, enough: number, now: number): number | undefined {
    const permits = this.permits.get(key)
    const isPending = permits?.pending !== undefined && now < permits.pending.until
    if (isPending || now < (permits?.askAt ?? 0) || this.validOf(key, now).length >= enough) return undefined
    this.lastNumber += 1
    this.permits.set(key, { ends: permits?.ends ?? [], pending: { number: this.lastNumber, until: now + answerTimeoutMilliseconds }, askAt: now, isUnanswered: permits?.pending !== undefined })
    return this.lastNumber
  }

  /** Applies the answer to a request; one that counts as lost is ignored. A permit is valid for `milliseconds`. */
  receive (key: string, number: number, grant: PermitGrant, now: number, milliseconds: number = validityMilliseconds): void {
    const permits = this.permits.get(key)
    if (permits?.pending?.number !== number || now >= permits.pending.until) return
    const isGranted = grant.kind === 'granted'
    const ends = isGranted ? [...this.validOf(key, now), now + milliseconds] : permits.ends
    this.permits.set(key, { ends, pending: undefined, askAt: isGranted ? now : grant.retryAt, isUnanswered: false })
  }

  /** Whether the last request for a permit got no answer in time. */
  isUnanswered (key: string, now: number): boolean {
    const permits = this.permits.get(key)
    return permits !== undefined && (permits.isUnanswered || (permits.pending !== undefined && now >= permits.pending.until))
  }

  /** Earliest time at which a permit may be had; undefined while that is not known. */
  expectedAt (key: string, now: number): number | undefined {
    if (this.has(key, now)) return now
    const permits = this.permits.get(key)
    return permits === undefined || permits.askAt <= now ? undefined : permits.askAt
  }

  /** Deletes the permits of a key that was removed. */
  forget (key: string): void {
    this.permits.delete(key)
  }

  private validOf (key: string, now: number): readonly number[] {
    return (this.permits.get(key)?.ends ?? []).filter(end => now < end)
  }
}
