/** The answer to one caller. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import type { StreamEvent } from '../../core/event-split.js'
import type { Failure } from '../../errors.js'
import type { RequestCodec } from '../../types/ports.js'
import { steadyNow } from '../../utils/clock.js'
import type { EventSink } from './upstream-call.js'

/** One caller's answer; a stream may be fed by several upstreams in turn. */
export class CallerAnswer implements EventSink {
  /** Steady milliseconds of the first event or of the whole answer; undefined before. */
  firstByteAt: number | undefined
  /** Id of the last event that was passed on. */
  lastEventId: string | undefined
  /** Events that were passed on. */
  eventCount = 0
  private isFramed = true

  constructor (private readonly response: ServerResponse, private readonly codec: RequestCodec, private readonly isStopping: () => boolean) {}

  /** Whether any byte went to the caller. */
  get hasBegun (): boolean {
    return this.response.headersSent
  }

  /** Sends a stream's head once; later upstreams keep it. */
  begin (headers: IncomingHttpHeaders, isFramed: boolean): void {
    if (this.hasBegun) return
    this.setHeaders(headers)
    if (!isFramed) this.delimitByClose()
    this.response.writeHead(200)
  }

  event (event: StreamEvent): void {
    this.firstByteAt ??= steadyNow()
    this.eventCount += 1
    if (event.id !== undefined) this.lastEventId = event.id
    this.response.write(event.bytes)
  }

  /** Ends a stream; one whose end is not certain only where the caller's answer states no end either. */
  end (isCertain: boolean): void {
    if (isCertain || !this.isFramed) this.response.end()
    else this.abort()
  }

  /** Breaks a stream off, so that it cannot be taken for a whole one. */
  abort (): void {
    this.response.destroy()
  }

  /** Sends an upstream's whole answer unchanged. */
  send (status: number, headers: IncomingHttpHeaders, body: Buffer, isFramed: boolean): void {
    if (this.hasBegun) {
      this.abort()
      return
    }
    this.firstByteAt ??= steadyNow()
    this.setHeaders(headers)
    if (!isFramed) this.delimitByClose()
    const isLengthKnown = isFramed && (body.length > 0 || headers['content-length'] !== undefined)
    this.response.writeHead(status, isLengthKnown ? { 'content-length': String(body.length) } : {})
    this.response.end(body)
  }

  /** States a failure of the system's own; `returnIn` in milliseconds for a caller that should come back. */
  fail (failure: Failure, returnIn?: number): void {
    if (this.hasBegun) {
      this.abort()
      return
    }
    const body = JSON.stringify({ error: failure.tag, text: failure.text, outcome: failure.outcome })
    if (returnIn !== undefined) this.response.setHeader('retry-after', (returnIn / 1000).toFixed(3))
    if (this.isStopping()) this.response.setHeader('connection', 'close')
    this.response.writeHead(failure.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) })
    this.response.end(body)
  }

  /** An upstream's answer without a length is passed on without one: only the upstream knows whether it is whole. */
  private delimitByClose (): void {
    this.isFramed = false
    this.response.removeHeader('content-length')
    this.response.removeHeader('transfer-encoding')
    this.response.setHeader('connection', 'close')
  }

  private setHeaders (headers: IncomingHttpHeaders): void {
    for (const [name, value] of Object.entries(this.codec.callerHeaders(headers))) this.response.setHeader(name, value as string | string[])
    if (this.isStopping()) this.response.setHeader('connection', 'close')
  }
}
