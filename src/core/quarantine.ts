/** Quarantine of crashing requests: crashes by fingerprint, summed over all agents. */
import type { AgentStatus } from '../types/messages.js'
import { digestBytes } from '../utils/digest.js'

/** Crashes from which a fingerprint is quarantined. */
const quarantineCrashes = 2
/** Instance losses are numbered as sources modulo this, so that their number stays bounded. */
const maximumLossSources = 10_000

/** SHA-256 in hexadecimal over service, operation and body; empty without a body, as such requests of different callers cannot be told apart. */
export function fingerprintOf (service: string, operation: string, body: Buffer): string {
  if (body.length === 0) return ''
  return digestBytes(Buffer.concat([Buffer.from(`${service}\u0000${operation}\u0000`), body]))
}

/** How a request may be sent: freely, alone on its upstream (`suspect`), or not at all until `until` (epoch milliseconds). */
export type QuarantineStatus =
  | { readonly kind: 'clear' }
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined', readonly until: number }

/** Crashes that one source reported; valid until `until`, epoch milliseconds. */
interface SourceCount { readonly crashes: number, readonly until: number }

/** Crash counts that the entry received; for each incarnation of an agent, the highest count is retained until it expires. */
export class Quarantine {
  /** By fingerprint, then by source: instance and incarnation, or a numbered loss. */
  private readonly counts = new Map<string, Map<string, SourceCount>>()
  private losses = 0

  /** Records the counts in an agent's status. */
  recordStatus (status: Pick<AgentStatus, 'instance' | 'incarnation' | 'suspects'>): void {
    for (const { fingerprint, crashes, until } of status.suspects) this.raiseCount(fingerprint, `${status.instance}/${status.incarnation}`, { crashes, until })
  }

  /** Records that an instance was lost together with its agent, which can no longer report the crash, while it ran the request. `until` in epoch milliseconds. */
  recordLoss (fingerprint: string, until: number): void {
    this.losses = (this.losses + 1) % maximumLossSources
    this.raiseCount(fingerprint, `${lossSourcePrefix}${this.losses}`, { crashes: 1, until })
  }

  /** Status of a fingerprint at `now`, epoch milliseconds; the loss of one instance alone does not make a request suspect. */
  statusOf (fingerprint: string, now: number): QuarantineStatus {
    const current = [...this.counts.get(fingerprint) ?? []].filter(([, count]) => count.until > now)
    const crashes = current.reduce((sum, [, count]) => sum + count.crashes, 0)
    if (crashes >= quarantineCrashes) return { kind: 'quarantined', until: Math.max(...current.map(([, count]) => count.until)) }
    return current.some(([source]) => !source.startsWith(lossSourcePrefix)) ? { kind: 'suspect' } : { kind: 'clear' }
  }

  /** Removes counts that have expired at `now`, epoch milliseconds. */
  prune (now: number): void {
    for (const [fingerprint, bySource] of this.counts) {
      for (const [source, count] of bySource) if (count.until <= now) bySource.delete(source)
      if (bySource.size === 0) this.counts.delete(fingerprint)
    }
  }

  private raiseCount (fingerprint: string, source: string, reported: SourceCount): void {
    if (fingerprint === '') return
    const bySource = this.counts.get(fingerprint) ?? new Map<string, SourceCount>()
    const previous = bySource.get(source) ?? { crashes: 0, until: 0 }
    bySource.set(source, { crashes: Math.max(previous.crashes, reported.crashes), until: Math.max(previous.until, reported.until) })
    this.counts.set(fingerprint, bySource)
  }
}

/** Prefix of the sources that are instance losses; the source of an agent starts with its instance name. */
const lossSourcePrefix = 'lost/'
