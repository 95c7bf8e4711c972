/** Answer of an agent that has no free upload slot. */

/** Time for which a busy peer asks to be left alone, milliseconds: what cannot be read counts as none, and none is longer than `maximum`. */
export function busyMilliseconds (retryAfter: string | undefined, maximum: number): number {
  const milliseconds = Number(retryAfter ?? 0) * 1000
  return milliseconds > 0 ? Math.min(maximum, milliseconds) : 0
}

/** Thrown when a peer has no free upload slot. */
export class PeerBusyError extends Error {
  /** `retryAt` in milliseconds of the monotonic clock. */
  constructor (readonly retryAt: number) {
    super('the agent is busy')
  }
}
