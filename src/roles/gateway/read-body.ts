/** Reads the body of a caller's request. */
import type { IncomingMessage } from 'node:http'

/** The complete body, or why there is none: it exceeds the limit, or the caller disconnected. */
export type BodyResult =
  | { readonly kind: 'complete', readonly bytes: Buffer }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'aborted' }

/** Reads a body of at most `maximumBytes`; the rest of a larger one is read and discarded. */
export function readBody (incoming: IncomingMessage, maximumBytes: number): Promise<BodyResult> {
  return new Promise(resolve => {
    const parts: Buffer[] = []
    let bytes = 0
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
