/** Rankings of the entries for keys that are looked up with each request. */
import { rankMembers } from '../../utils/rendezvous.js'

interface Ranking { readonly ranked: readonly string[], readonly until: number }

/** Time for which a ranking is cached, milliseconds; shorter than the time after which an unresponsive entry counts as dead. */
const rankingMilliseconds = 500

/** Rendezvous rankings by key, each computed at most once in half a second; times in milliseconds of the monotonic clock. */
export class RankingCache {
  private readonly rankings = new Map<string, Ranking>()

  /** Members ranked by their responsibility for `key`, as they were known up to half a second ago. */
  rank (key: string, members: () => readonly string[], now: number): readonly string[] {
    const cached = this.rankings.get(key)
    if (cached !== undefined && now < cached.until) return cached.ranked
    const ranked = rankMembers(key, members())
    this.rankings.set(key, { ranked, until: now + rankingMilliseconds })
    return ranked
  }

  /** Deletes the ranking of a key that was removed. */
  forget (key: string): void {
    this.rankings.delete(key)
  }
}
