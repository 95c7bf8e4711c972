/** Reads the body of a caller's request. */
import type { IncomingMessage } from 'node:http'
import { monotonicNow } from '../../utils/clock.js'

/** The complete body, or why there is none: it exceeds the limit, it is not complete in time, or the caller disconnected. */
export type BodyResult =
  | { readonly kind: 'complete', readonly bytes: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'late' }
  | { readonly kind: 'aborted' }

/** Reads a body of at most `maximumBytes` until `deadline`, milliseconds of the monotonic clock. */
export function readBody (incoming: IncomingMessage, maximumBytes: number, deadline: number): Promise<BodyResult> {
  return new Promise(resolve => {
    const parts: Buffer[] = []
    let bytes = 0
    const timer = setTimeout(() => { resolve({ kind: 'late' }) }, Math.max(0, deadline - monotonicNow()))
    incoming.once('close', () => { clearTimeout(timer) })
    incoming.once('end', () => { clearTimeout(timer) })
    incoming.on('data', (part: Buffer) => {
      bytes += part.length
      if (bytes <= maximumBytes) parts.push(part)
      else resolve({ kind: 'too-large' })
    })
    incoming.on('end', () => { resolve({ kind: 'complete', bytes: Buffer.concat(parts) }) })
    incoming.on('error', () => { resolve({ kind: 'aborted' }) })
    incoming.on('close', () => { resolve({ kind: 'aborted' }) })
  })
}
