/** Notes what ran on an incarnation of the upstream that was lost, and counts it once the crash is certain. */
import { countCrash, currentSuspects } from '../../core/suspects.js'
import type { SuspectCount } from '../../types/messages.js'

const lossRetentionMilliseconds = 10_000

interface LostRequest { readonly incarnation: string, readonly fingerprint: string, readonly until: number }

/** Suspect fingerprints of this agent. */
export class CrashTracker {
  private counts: readonly SuspectCount[] = []
  private lostRequests: readonly LostRequest[] = []

  /** Counts that still matter. */
  get suspects (): readonly SuspectCount[] {
    return currentSuspects(this.counts, Date.now())
  }

  /** A connection to an incarnation broke while it ran a request. */
  recordLoss (incarnation: string, fingerprint: string): void {
    const now = Date.now()
    this.lostRequests = [...this.lostRequests.filter(({ until }) => until > now), { incarnation, fingerprint, until: now + lossRetentionMilliseconds }]
  }

  /** An incarnation has crashed; `running` are the fingerprints that still had a place. */
  confirmCrash (incarnation: string, running: readonly string[]): void {
    const now = Date.now()
    const noted = this.lostRequests.filter(loss => loss.incarnation === incarnation && loss.until > now).map(({ fingerprint }) => fingerprint)
    this.lostRequests = this.lostRequests.filter(loss => loss.incarnation !== incarnation)
    if (noted.length + running.length > 0) this.counts = countCrash(this.counts, [...noted, ...running], now)
  }
}
