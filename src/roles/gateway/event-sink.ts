/** Receiver of the events of a stream. */
import type { IncomingHttpHeaders } from 'node:http'
import type { StreamEvent } from '../../core/event-splitter.js'

/** Receives a stream event by event. */
export interface EventSink {
  /** Called with the stream's head before its first event. */
  begin (headers: IncomingHttpHeaders): void
  event (event: StreamEvent): void
  /** Bytes that the caller's connection has not taken yet. */
  readonly waitingBytes: number
}
