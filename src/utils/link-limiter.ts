/** Rate limit of bulk transfers on a network link; transfers take turns slice by slice, in order of arrival. */
import { monotonicNow, waitUntil } from './clock.js'

/** Bytes that are written at once; small, so that live requests wait only briefly behind bulk transfers. */
export const sliceBytes = 16 << 10

/** Time by which transfers may be ahead of the rate before they wait, milliseconds. */
const burstMilliseconds = 5
/** Share of the link that is reserved for live requests while the instance is fully loaded. */
const liveReserve = 0.25

/** Rate limit of one direction of a link. */
export class LinkLimiter {
  /** When all admitted bytes will have been transferred, milliseconds of the monotonic clock. */
  private freeAt = 0

  /** `bytesPerSecond` of 0 means no limit; `liveLoad` returns the instance's load with live requests, 0 to 1. */
  constructor (private readonly bytesPerSecond: number, private readonly liveLoad: () => number = () => 0) {}

  /** Resolves once `bytes` may be sent, or when `signal` is aborted. */
  async take (bytes: number, signal?: AbortSignal): Promise<void> {
    if (this.bytesPerSecond === 0) return
    const rate = this.bytesPerSecond * (1 - liveReserve * Math.min(1, Math.max(0, this.liveLoad())))
    const now = monotonicNow()
    this.freeAt = Math.max(this.freeAt, now) + bytes / rate * 1000
    if (this.freeAt > now + burstMilliseconds) await waitUntil(Date.now() + this.freeAt - now, signal)
  }
}
