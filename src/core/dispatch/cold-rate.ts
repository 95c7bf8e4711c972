/** Rate limit of a cold upstream. The entries divide the rate without coordination, so that their sum stays within the limit. */
import { RankingCache } from './ranking-cache.js'
import { rankMembers } from '../../utils/rendezvous.js'

/** Limit of a cold upstream, all entries together: `perSecond * factor + slack` requests in one second. */
export interface ColdBounds {
  /** Requests a second; 0 for no limit. */
  readonly perSecond: number
  readonly factor: number
  readonly slack: number
}

/** Share of the limit that entries use; the rest covers entries not yet known here and requests delayed by the network. */
const usedShare = 0.75
/** Requests that one entry may send to a cold upstream at once. */
const burst = 1
const millisecondsPerSecond = 1000

/**
 * Entries that may send to a cold upstream, by rendezvous hashing: as many as the limit allows beyond the steady rate
 * when each of them sends its burst at the same time.
 */
export function coldSenders (upstreamId: string, entries: readonly string[], bounds: ColdBounds): readonly string[] {
  return rankMembers(upstreamId, entries).slice(0, senderCount(bounds))
}

function senderCount (bounds: ColdBounds): number {
  const maximumRequests = bounds.perSecond * bounds.factor + bounds.slack
  return Math.max(1, Math.floor((maximumRequests * usedShare - bounds.perSecond * usedShare) / burst))
}

/** Share of the bound that the agent of a cold engine grants; the rest is for entries that it does not answer. */
const grantedShare = 0.75
/** Share of the reserve that the entries use; the rest covers entries not yet known here and delays. */
const reserveShare = 0.87
/** Share of the rate for which permits are granted where no agent sees all requests, and the requests in a second for each one a second: permits that are valid for a while are used later than they were granted, and a second entry may grant a quarter while views differ. */
const permits = { ofRate: 0.95, perRate: 1.6, burst: 3 } as const
/** Time for which a permit for a cold upstream is valid, milliseconds: one check of an entry's queue and the delay of an answer between regions; those of named limits are valid for longer, as their bound is one of several seconds. */
export const coldPermitMilliseconds = 150

/** Largest number of requests in one second, all entries together. */
export function coldMaximum ({ perSecond, factor, slack }: ColdBounds): number {
  return perSecond * factor + slack
}

/** Requests that the agent of a cold engine grants in one second. */
export function coldGrants (bounds: ColdBounds): number {
  return Math.max(1, Math.floor(coldMaximum(bounds) * grantedShare))
}

/** Bounds that make a `ColdRateLimiter` send `rate` requests a second, with bursts of `bursts` in total. */
function boundsFor (rate: number, bursts: number): ColdBounds {
  return { perSecond: rate / usedShare, factor: 1, slack: bursts / usedShare }
}

/** Bounds of the entries that the agent of a cold engine, or the entry that grants permits, does not answer: what its grants leave, with a margin. */
export function coldReserve (bounds: ColdBounds): ColdBounds {
  const rest = (coldMaximum(bounds) - coldGrants(bounds)) * reserveShare
  return boundsFor(rest / 2, rest / 2)
}

/** Permits a second for a cold upstream without an agent. */
export function coldPermitsPerSecond (bounds: ColdBounds): number {
  return Math.max(1, Math.min(bounds.perSecond * permits.ofRate, (coldMaximum(bounds) - permits.burst) / permits.perRate))
}

interface Bucket { readonly tokens: number, readonly at: number }

/** One token bucket for each cold upstream; times in milliseconds of the monotonic clock. */
export class ColdRateLimiter {
  private readonly buckets = new Map<string, Bucket>()
  private readonly ranking = new RankingCache()

  /** Whether `instance`, one of `entries`, may send one request now. */
  mayTake (upstreamId: string, instance: string, entries: readonly string[], bounds: ColdBounds, now: number): boolean {
    if (bounds.perSecond <= 0) return true
    const senders = this.sendersOf(upstreamId, entries, bounds, now)
    if (!senders.includes(instance)) return false
    return this.level(upstreamId, bounds.perSecond * usedShare / senders.length, now) >= 1
  }

  /** Takes the token of a request that is sent. */
  take (upstreamId: string, entries: readonly string[], bounds: ColdBounds, now: number): void {
    const senders = this.sendersOf(upstreamId, entries, bounds, now)
    const level = this.level(upstreamId, bounds.perSecond * usedShare / senders.length, now)
    this.buckets.set(upstreamId, { tokens: level - 1, at: now })
  }

  /** Deletes the state of an upstream that was removed. */
  forget (upstreamId: string): void {
    this.buckets.delete(upstreamId)
    this.ranking.forget(upstreamId)
  }

  private sendersOf (upstreamId: string, entries: readonly string[], bounds: ColdBounds, now: number): readonly string[] {
    return this.ranking.rank(upstreamId, () => entries, now).slice(0, senderCount(bounds))
  }

  private level (upstreamId: string, perSecond: number, now: number): number {
    const bucket = this.buckets.get(upstreamId) ?? { tokens: burst, at: now }
    return Math.min(burst, bucket.tokens + Math.max(0, now - bucket.at) * perSecond / millisecondsPerSecond)
  }
}

/** Time after which a slot that was granted no longer counts, milliseconds: the second of the bound, and the time for which a request may be on its way. */
const windowMilliseconds = 1000 + 100
/** Time for which an engine stays cold for its agent after an entry has last said so, milliseconds: requests of entries that know of its start later come meanwhile. */
const coldnessMilliseconds = 500

interface ColdGrant { readonly key: string, readonly at: number }

/**
 * Counts the slots that the agent of an engine grants, so that a cold engine stays within its bound whatever the number of
 * entries: none of them needs to know of the others. Times in milliseconds of the monotonic clock.
 */
export class ColdGrants {
  private grants: readonly ColdGrant[] = []
  private limit = Infinity
  private coldUntil = 0

  /** Whether a slot may be granted now; `limit`: slots that may be granted in a second, as the asking entry says, undefined if the engine is not cold for it. */
  mayGrant (limit: number | undefined, now: number): boolean {
    if (limit !== undefined) {
      this.limit = now < this.coldUntil ? Math.min(this.limit, limit) : limit
      this.coldUntil = now + coldnessMilliseconds
    }
    this.grants = this.grants.filter(({ at }) => now - at < windowMilliseconds)
    return now >= this.coldUntil || this.grants.length < this.limit
  }

  /** Whether an entry has said lately that the engine is cold. */
  isCold (now: number): boolean {
    return now < this.coldUntil
  }

  /** Records a slot that was granted. */
  record (key: string, now: number): void {
    this.grants = [...this.grants, { key, at: now }]
  }

  /** Takes back a slot that no request has used. */
  release (key: string): void {
    this.grants = this.grants.filter(grant => grant.key !== key)
  }
}
