/** Writes the answer to one caller. */
import type { IncomingHttpHeaders, ServerResponse } from 'node:http'
import { addId, noIds } from '../../core/event-ids.js'
import type { StreamEvent } from '../../core/event-splitter.js'
import type { Failure } from '../../errors.js'
import type { RequestCodec } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import type { EventSink } from './event-sink.js'
import { heldAnswers } from './held-answers.js'

/** One caller's answer; several upstreams may supply parts of a stream one after another. */
export class CallerAnswer implements EventSink {
  /** When the first event or the complete answer was sent, milliseconds of the monotonic clock; undefined before. */
  firstByteAt: number | undefined
  /** Ids of the events sent; a resumed stream continues after them. */
  ids = noIds
  /** Number of events sent. */
  eventCount = 0

  constructor (private readonly response: ServerResponse, private readonly codec: RequestCodec, private readonly isStopping: () => boolean) {}

  get waitingBytes (): number {
    return this.response.writableLength
  }

  /** Whether the head was sent, after which no other status can be. */
  get hasBegun (): boolean {
    return this.response.headersSent
  }

  /**
   * Sends a stream's head; ignored for later upstreams of the same stream. The stream is sent in chunks whatever its
   * upstream does: without them a break would look like the end.
   */
  begin (headers: IncomingHttpHeaders): void {
    if (this.hasBegun) return
    this.setHeaders(headers)
    this.response.writeHead(200)
  }

  event (event: StreamEvent): void {
    this.firstByteAt ??= monotonicNow()
    this.eventCount += 1
    this.ids = addId(this.ids, event.id)
    this.response.write(event.bytes)
  }

  /** Ends a complete stream. */
  end (): void {
    this.response.end()
  }

  /** Closes the connection without a regular end, so that the caller does not take the answer for a complete one. */
  abort (): void {
    this.response.destroy()
  }

  /** Sends an upstream's complete answer unchanged; aborts if a stream was begun. */
  send (status: number, headers: IncomingHttpHeaders, body: Buffer, isFramed: boolean): void {
    if (this.hasBegun) {
      this.abort()
      return
    }
    this.firstByteAt ??= monotonicNow()
    this.setHeaders(headers)
    if (!isFramed) this.delimitByClose()
    // The length of an answer without a body, to HEAD or with status 304, is that of the body which it stands for.
    const length = body.length > 0 ? String(body.length) : headers['content-length']
    this.response.writeHead(status, isFramed && length !== undefined ? { 'content-length': length } : {})
    this.holdUntilTaken(body)
    this.response.end(body)
  }

  /** Counts an answer until the caller's connection has taken it. */
  private holdUntilTaken (body: Buffer): void {
    const room = heldAnswers.open()
    this.response.once('finish', () => { room.close() })
    this.response.once('close', () => { room.close() })
    room.wait(body.length, monotonicNow(), () => { this.abort() })
  }

  /** Sends a failure that the entry itself reports; `retryAfterMilliseconds` for a caller that should retry. Aborts if a stream was begun. */
  fail (failure: Failure, retryAfterMilliseconds?: number): void {
    if (this.hasBegun) {
      this.abort()
      return
    }
    const body = JSON.stringify({ error: failure.tag, text: failure.text, outcome: failure.outcome })
    if (retryAfterMilliseconds !== undefined) this.response.setHeader('retry-after', (retryAfterMilliseconds / 1000).toFixed(3))
    if (this.isStopping()) this.response.setHeader('connection', 'close')
    this.response.writeHead(failure.status, { 'content-type': 'application/json', 'content-length': String(Buffer.byteLength(body)) })
    this.response.end(body)
  }

  /** Passes on an answer without framing as it is, ended by the connection's close. */
  private delimitByClose (): void {
    this.response.removeHeader('content-length')
    this.response.removeHeader('transfer-encoding')
    this.response.setHeader('connection', 'close')
  }

  private setHeaders (headers: IncomingHttpHeaders): void {
    for (const [name, value] of Object.entries(this.codec.callerHeaders(headers))) this.response.setHeader(name, value as string | string[])
    if (this.isStopping()) this.response.setHeader('connection', 'close')
  }
}
