/** Receives and drops what is left of a message, so that its connection can be used again. */
import type { IncomingMessage } from 'node:http'
import { monotonicNow } from '../utils/clock.js'

/** How much of a message is received before its connection is closed instead. */
export interface DiscardLimits {
  readonly maximumBytes: number
  /** Milliseconds of the monotonic clock. */
  readonly deadline: number
}

/** Limits for the body of an answer that only its status and headers matter of: a few packets, half a second. */
export function refusalDiscardLimits (): DiscardLimits {
  return { maximumBytes: 65_536, deadline: monotonicNow() + 500 }
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
