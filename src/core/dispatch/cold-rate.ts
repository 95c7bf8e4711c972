/** How many requests a cold upstream gets: each entry has a part of the rate, so that the sum stays within the bound. */
import { rankMembers } from '../../utils/rendezvous.js'

/** Bound of a cold upstream over one second, all entries together. */
export interface ColdBounds {
  readonly perSecond: number
  readonly factor: number
  readonly slack: number
}

/** Part of the bound that is used; the rest covers entries that are not seen and requests that are late on the way. */
const usedShare = 0.75
/** Requests that an entry may send at once to a cold upstream. */
const burst = 1
const millisecondsPerSecond = 1000

/** Entries that may send to one cold upstream: as many as the bound bears when each sends its burst at once. */
export function coldSenders (upstreamId: string, entries: readonly string[], bounds: ColdBounds): readonly string[] {
  const most = bounds.perSecond * bounds.factor + bounds.slack
  const senders = Math.max(1, Math.floor((most * usedShare - bounds.perSecond * usedShare) / burst))
  return rankMembers(upstreamId, entries).slice(0, senders)
}

interface Bucket { readonly tokens: number, readonly at: number }

interface Ranking { readonly senders: readonly string[], readonly until: number }

/** Time for which a ranking of the entries is kept, milliseconds: under the silence that makes one count as dead. */
const rankingMilliseconds = 500

/** Token bucket for each cold upstream. */
export class ColdRateLimiter {
  private readonly buckets = new Map<string, Bucket>()
  private readonly rankings = new Map<string, Ranking>()

  /** Whether `instance`, one of `entries`, may send one request now; `now` in steady milliseconds. */
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

  /** Forgets an upstream that is gone. */
  forget (upstreamId: string): void {
    this.buckets.delete(upstreamId)
    this.rankings.delete(upstreamId)
  }

  private sendersOf (upstreamId: string, entries: readonly string[], bounds: ColdBounds, now: number): readonly string[] {
    const known = this.rankings.get(upstreamId)
    if (known !== undefined && now < known.until) return known.senders
    const senders = coldSenders(upstreamId, entries, bounds)
    this.rankings.set(upstreamId, { senders, until: now + rankingMilliseconds })
    return senders
  }

  private level (upstreamId: string, perSecond: number, now: number): number {
    const bucket = this.buckets.get(upstreamId) ?? { tokens: burst, at: now }
    return Math.min(burst, bucket.tokens + Math.max(0, now - bucket.at) * perSecond / millisecondsPerSecond)
  }
}
