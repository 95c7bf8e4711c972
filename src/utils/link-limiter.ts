/** Pace of bulk bytes on a link, in slices, first come first served. */
import { monotonicNow, waitUntil } from './clock.js'

/** Bytes written at once; small, so that live requests wait behind little. */
export const sliceBytes = 16 << 10

const burstMilliseconds = 5
/** Share of the link that bulk bytes leave to live requests at full load. */
const liveReserve = 0.25

/** Limits one direction of a link. */
export class LinkLimiter {
  private freeAt = 0

  /** `bytesPerSecond` of 0 means no limit; `liveLoad` says how busy the instance is with live requests, 0 to 1. */
  constructor (private readonly bytesPerSecond: number, private readonly liveLoad: () => number = () => 0) {}

  /** Resolves once `bytes` may pass. */
  async take (bytes: number, signal?: AbortSignal): Promise<void> {
    if (this.bytesPerSecond === 0) return
    const rate = this.bytesPerSecond * (1 - liveReserve * Math.min(1, Math.max(0, this.liveLoad())))
    const now = monotonicNow()
    this.freeAt = Math.max(this.freeAt, now) + bytes / rate * 1000
    if (this.freeAt > now + burstMilliseconds) await waitUntil(Date.now() + this.freeAt - now, signal)
  }
}
