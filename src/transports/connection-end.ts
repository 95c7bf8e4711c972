/** How connections end, which Node's HTTP client does not tell apart. */
import type { Socket } from 'node:net'

/** How a connection ended; both false for one that is open or not observed. */
export interface ConnectionEnd {
  /** Whether an error occurred on it, or the other side reset it. */
  readonly hasFailed: boolean
  /** Whether the other side ended it properly. */
  readonly hasEnded: boolean
}

const ends = new WeakMap<Socket, { hasFailed: boolean, hasEnded: boolean }>()

/**
 * Records how a connection ends, and handles its errors for as long as it exists: Node's HTTP client stops listening once an
 * answer is complete, while the write of a long request may still fail. Must be called before the connection can end; further
 * calls have no effect.
 */
export function observeConnection (socket: Socket): void {
  if (ends.has(socket)) return
  const end = { hasFailed: false, hasEnded: false }
  ends.set(socket, end)
  // These listeners run before those of the HTTP parser, which takes a reset for the end of an answer without a length.
  socket.prependListener('error', () => { end.hasFailed = true })
  socket.prependListener('end', () => {
    // Node reports the end also for a reset that arrives together with the last bytes. The kernel has no peer for the socket then.
    // Node remembers `remoteAddress` once it was read, so nothing may read it earlier.
    if (socket.remoteAddress === undefined) end.hasFailed = true
    else end.hasEnded = true
  })
}

/** How a connection ended; null, as an answer has for one that was given back to its agent, counts as open. */
export function connectionEndOf (socket: Socket | null): ConnectionEnd {
  return (socket === null ? undefined : ends.get(socket)) ?? { hasFailed: false, hasEnded: false }
}
