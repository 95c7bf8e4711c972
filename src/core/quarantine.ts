/** Requests that crash upstreams: counts by fingerprint, summed over all agents. */
import type { AgentStatus } from '../types/messages.js'
import { digestBytes } from '../utils/digest.js'

const quarantineCrashes = 2
const maximumLossSources = 10_000

/** SHA-256 in hexadecimal over service, operation and body; empty without a body, as nothing then tells one caller's request from another's. */
export function fingerprintOf (service: string, operation: string, body: Buffer): string {
  if (body.length === 0) return ''
  return digestBytes(Buffer.concat([Buffer.from(`${service}\u0000${operation}\u0000`), body]))
}

/** How a request with a fingerprint may be sent. */
export type QuarantineStatus =
  | { readonly kind: 'clear' }
  | { readonly kind: 'suspect' }
  | { readonly kind: 'quarantined', readonly until: number }

interface SourceCount { readonly crashes: number, readonly until: number }

/** Crash counts that the entry has heard; the highest of each agent's incarnation stays until its time is over. */
export class Quarantine {
  /** By fingerprint, then by instance and incarnation. */
  private readonly counts = new Map<string, Map<string, SourceCount>>()
  private losses = 0

  /** Takes the counts of an agent's status. */
  recordStatus (status: Pick<AgentStatus, 'instance' | 'incarnation' | 'suspects'>): void {
    for (const { fingerprint, crashes, until } of status.suspects) this.raiseCount(fingerprint, `${status.instance}/${status.incarnation}`, { crashes, until })
  }

  /** Notes that a whole instance was lost under a request; the agent there cannot tell any more. `until` in epoch milliseconds. */
  recordLoss (fingerprint: string, until: number): void {
    this.losses = (this.losses + 1) % maximumLossSources
    this.raiseCount(fingerprint, `${lossSourcePrefix}${this.losses}`, { crashes: 1, until })
  }

  /** Standing of a fingerprint at `now`, epoch milliseconds; one lost instance alone suspects nobody. */
  statusOf (fingerprint: string, now: number): QuarantineStatus {
    const fresh = [...this.counts.get(fingerprint) ?? []].filter(([, count]) => count.until > now)
    const crashes = fresh.reduce((sum, [, count]) => sum + count.crashes, 0)
    if (crashes >= quarantineCrashes) return { kind: 'quarantined', until: Math.max(...fresh.map(([, count]) => count.until)) }
    return fresh.some(([source]) => !source.startsWith(lossSourcePrefix)) ? { kind: 'suspect' } : { kind: 'clear' }
  }

  /** Forgets counts whose time is over at `now`, epoch milliseconds. */
  prune (now: number): void {
    for (const [fingerprint, bySource] of this.counts) {
      for (const [source, count] of bySource) if (count.until <= now) bySource.delete(source)
      if (bySource.size === 0) this.counts.delete(fingerprint)
    }
  }

  private raiseCount (fingerprint: string, source: string, heard: SourceCount): void {
    if (fingerprint === '') return
    const bySource = this.counts.get(fingerprint) ?? new Map<string, SourceCount>()
    const known = bySource.get(source) ?? { crashes: 0, until: 0 }
    bySource.set(source, { crashes: Math.max(known.crashes, heard.crashes), until: Math.max(known.until, heard.until) })
    this.counts.set(fingerprint, bySource)
  }
}

const lossSourcePrefix = 'lost/'
