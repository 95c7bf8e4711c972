/** Records the requests that ran on a lost incarnation of the upstream, and counts them as suspects once the crash is confirmed. */
import { countCrash, currentSuspects } from '../../core/suspects.js'
import type { SuspectCount } from '../../types/messages.js'

/** Time within which a crash must be confirmed for a lost request to count. */
const lossRetentionMilliseconds = 10_000

interface LostRequest { readonly incarnation: string, readonly fingerprint: string, readonly until: number }

/** Crash counts of this agent by request fingerprint. */
export class CrashTracker {
  private counts: readonly SuspectCount[] = []
  private lostRequests: readonly LostRequest[] = []

  /** Counts that have not expired. */
  get suspects (): readonly SuspectCount[] {
    return currentSuspects(this.counts, Date.now())
  }

  /** Records that a connection broke while it carried a request. */
  recordLoss (incarnation: string, fingerprint: string): void {
    const now = Date.now()
    this.lostRequests = [...this.lostRequests.filter(({ until }) => until > now), { incarnation, fingerprint, until: now + lossRetentionMilliseconds }]
  }

  /** Counts the crash of an incarnation; `running` holds the fingerprints of the requests still assigned to it. */
  confirmCrash (incarnation: string, running: readonly string[]): void {
    const now = Date.now()
    const lostFingerprints = this.lostRequests.filter(loss => loss.incarnation === incarnation && loss.until > now).map(({ fingerprint }) => fingerprint)
    this.lostRequests = this.lostRequests.filter(loss => loss.incarnation !== incarnation)
    if (lostFingerprints.length + running.length > 0) this.counts = countCrash(this.counts, [...lostFingerprints, ...running], now)
  }
}
