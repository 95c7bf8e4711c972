/** Receives and drops what is left of a message, so that its connection can be used again. */
import type { IncomingMessage } from 'node:http'
import { monotonicNow } from '../utils/clock.js'

/** How much of a message is received before its connection is closed instead. */
export interface DiscardLimits {
  readonly maximumBytes: number
  /** Milliseconds of the monotonic clock. */
  readonly deadline: number
}

/** Limits for what is expected to be short, such as the body of a refusal; time in milliseconds. */
const brief = { bytes: 65_536, milliseconds: 500 } as const

/** Limits, from now on, for a rest that is expected to be short; a longer one costs more than a new connection. */
export function briefDiscardLimits (): DiscardLimits {
  return { maximumBytes: brief.bytes, deadline: monotonicNow() + brief.milliseconds }
}

/** Drops the rest of a message's body; closes its connection if it has not ended within the limits. */
export function discardBody (message: IncomingMessage, { maximumBytes, deadline }: DiscardLimits): void {
  if (message.readableEnded || message.destroyed) return
  let bytes = 0
  const timer = setTimeout(() => { message.destroy() }, Math.max(0, deadline - monotonicNow()))
  const stop = (): void => { clearTimeout(timer) }
  message.on('data', (part: Buffer | string) => {
    bytes += part.length
    if (bytes > maximumBytes) message.destroy()
  })
  message.on('error', () => {})
  message.once('end', stop)
  message.once('close', stop)
  message.resume()
}
