/** Requests suspected of crashing the upstreams that run them. */
import { createHash } from 'node:crypto'

/** Crashes that a request may cause and still be sent again; after the third crash it is refused. */
const toleratedCrashes = 2
/** Time for which crashes are remembered, milliseconds. */
const retentionMilliseconds = 60_000
/** Requests that are remembered; the one recorded longest ago is dropped first. */
const maximumSuspects = 1000

/** Crashes of upstreams that ran one request. */
export interface CrashCount {
  readonly fingerprint: string
  /** Upstream incarnations that crashed while they ran it. */
  readonly upstreams: readonly string[]
}

interface Suspect { readonly upstreams: ReadonlySet<string>, readonly until: number }

/** Identifies a request by what stays the same when its caller retries it. */
export function fingerprintRequest (method: string, target: string, organisation: string, body: Buffer): string {
  return createHash('md5').update(`${method} ${target}\u0000${organisation}\u0000`).update(body).digest('base64url')
}

/** Crashes observed by all entries, merged by upstream incarnation so that each crash counts once. */
export class CrashSuspects {
  private readonly suspects = new Map<string, Suspect>()

  /** Records crashes observed by this entry or received from another one; `now` in milliseconds of the monotonic clock. */
  record (fingerprint: string, upstreams: readonly string[], now: number): void {
    const known = this.suspects.get(fingerprint)?.upstreams ?? new Set<string>()
    this.suspects.delete(fingerprint)
    this.suspects.set(fingerprint, { upstreams: new Set([...known, ...upstreams]), until: now + retentionMilliseconds })
    const oldest = this.suspects.keys().next().value
    if (this.suspects.size > maximumSuspects && oldest !== undefined) this.suspects.delete(oldest)
  }

  /** Whether a request has crashed more upstreams than tolerated. */
  isRefused (fingerprint: string, now: number): boolean {
    const suspect = this.suspects.get(fingerprint)
    return suspect !== undefined && suspect.until > now && suspect.upstreams.size > toleratedCrashes
  }

  /** Up to `maximumCount` suspects to send to other entries, the most recently recorded first. */
  latest (maximumCount: number): readonly CrashCount[] {
    return [...this.suspects].slice(-maximumCount).reverse().map(([fingerprint, { upstreams }]) => ({ fingerprint, upstreams: [...upstreams] }))
  }
}
