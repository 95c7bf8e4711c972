/** Requests that crash the upstreams that run them. */
import { createHash } from 'node:crypto'

/** Crashes after which a request is refused: the third may be the last that it causes. */
const toleratedCrashes = 2
/** Time for which crashes are remembered, milliseconds. */
const retentionMilliseconds = 60_000
/** Requests that are remembered at most. */
const maximumSuspects = 1000

/** Crashes seen with one request. */
export interface CrashCount {
  readonly fingerprint: string
  /** Upstream incarnations that crashed while they ran it. */
  readonly upstreams: readonly string[]
}

interface Suspect { readonly upstreams: ReadonlySet<string>, readonly until: number }

/** Names a request by what stays the same when its caller sends it again. */
export function fingerprintRequest (method: string, target: string, organisation: string, body: Buffer): string {
  return createHash('md5').update(`${method} ${target}\u0000${organisation}\u0000`).update(body).digest('base64url')
}

/** Crash counts of all entries, merged by upstream so that one crash counts once. */
export class CrashSuspects {
  private readonly suspects = new Map<string, Suspect>()

  /** Notes crashes, own or heard; `now` in steady milliseconds. */
  record (fingerprint: string, upstreams: readonly string[], now: number): void {
    const known = this.suspects.get(fingerprint)?.upstreams ?? new Set<string>()
    this.suspects.delete(fingerprint)
    this.suspects.set(fingerprint, { upstreams: new Set([...known, ...upstreams]), until: now + retentionMilliseconds })
    const oldest = this.suspects.keys().next().value
    if (this.suspects.size > maximumSuspects && oldest !== undefined) this.suspects.delete(oldest)
  }

  /** Whether a request has crashed so many upstreams that it is refused. */
  isRefused (fingerprint: string, now: number): boolean {
    const suspect = this.suspects.get(fingerprint)
    return suspect !== undefined && suspect.until > now && suspect.upstreams.size > toleratedCrashes
  }

  /** Counts to tell other entries, the latest first. */
  latest (most: number): readonly CrashCount[] {
    return [...this.suspects].slice(-most).reverse().map(([fingerprint, { upstreams }]) => ({ fingerprint, upstreams: [...upstreams] }))
  }
}
