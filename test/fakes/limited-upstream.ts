/** An upstream that names a limit of requests a second, and what reached it. */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { monotonicNow } from '../../src/utils/clock.js'

/** The limit from a time on, milliseconds of the monotonic clock; undefined for none. */
export interface LimitChange { readonly at: number, readonly perSecond: number | undefined }

/** Time from the first answer that names a limit until the limit binds, milliseconds. */
const settleMilliseconds = 3000
const windowMilliseconds = 4000
/** The stated rule: one and a half times what the limit allows in a window, and five requests. */
const allowance = { factor: 1.5, requests: 5 } as const
/** Time after a change in which answers with the limit before it may still be on their way, milliseconds. */
const changeMilliseconds = 500

/** Listens on a free port of the loopback interface until `close`. */
export class LimitedUpstream {
  /** When each request arrived, milliseconds of the monotonic clock. */
  readonly arrivals: number[] = []
  private readonly changes: LimitChange[]
  private namedAt = Infinity
  private readonly server: Server

  /** `busyShare` is the share of the requests that it refuses. */
  constructor (perSecond: number, busyShare: number, random: () => number) {
    this.changes = [{ at: -Infinity, perSecond }]
    this.server = createServer((incoming, response) => {
      const now = monotonicNow()
      this.arrivals.push(now)
      const limit = this.changes.at(-1)?.perSecond
      const isBusy = random() < busyShare
      const headers = { 'x-attempt-id': String(incoming.headers['x-attempt-id']), ...(limit === undefined ? {} : { 'server-limit': String(limit) }) }
      response.writeHead(isBusy ? 503 : 200, { ...headers, ...(isBusy ? { 'x-not-executed': '1' } : { 'x-server-stamp': 'stamp' }) }).end('done')
      this.namedAt = Math.min(this.namedAt, now)
    })
  }

  async listen (): Promise<void> {
    await new Promise<void>(resolve => { this.server.listen(0, '127.0.0.1', resolve) })
  }

  /** Address, `ip:port`. */
  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Names another limit from now on, or none. */
  change (perSecond: number | undefined): void {
    this.changes.push({ at: monotonicNow(), perSecond })
  }

  /** Windows in which more requests arrived than the limits in force allow, one line each for the first of those that overlap. */
  get findings (): readonly string[] {
    let findings: readonly string[] = []
    let after = this.namedAt + settleMilliseconds
    for (const start of this.arrivals) {
      if (start < after) continue
      const count = this.arrivals.filter(at => at >= start && at < start + windowMilliseconds).length
      const allowed = this.allowedIn(start)
      if (count <= allowed) continue
      findings = [...findings, `${count} requests in 4 s from ${Math.round(start - this.namedAt)} ms after the first answer, ${allowed.toFixed(1)} are allowed`]
      after = start + windowMilliseconds
    }
    return findings
  }

  close (): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  /** Requests allowed in the window from `start` on, by the highest limit that was in force in it or shortly before. */
  private allowedIn (start: number): number {
    const inForce = this.changes.filter(({ at }, index) => at < start + windowMilliseconds && (this.changes[index + 1]?.at ?? Infinity) > start - changeMilliseconds)
    const highest = Math.max(...inForce.map(({ perSecond }) => perSecond ?? Infinity))
    return highest * windowMilliseconds / 1000 * allowance.factor + allowance.requests
  }
}
