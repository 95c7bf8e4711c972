/** Chunks of weights in an agent's memory, verified against their digests. */
import { countBits, emptyBitmap, hasBit, withBit, type Bitmap } from '../../core/weights/bitmap.js'
import type { DoubtfulDigest } from '../../core/weights/digest-doubt.js'
import { monotonicNow } from '../../utils/clock.js'
import { digestBytes } from '../../utils/digest.js'

/** One version of a model's weights; `digests` holds the digest of the chunk at each position. */
export class VersionChunks {
  private readonly chunks = new Map<number, Buffer>()
  private bitmap: Bitmap
  /** Milliseconds of the monotonic clock at which the last chunk was stored; 0 before. */
  completedAt = 0

  constructor (readonly model: string, readonly version: number, readonly digests: readonly string[]) {
    this.bitmap = emptyBitmap(digests.length)
  }

  get held (): Bitmap {
    return this.bitmap
  }

  get heldCount (): number {
    return countBits(this.bitmap, this.digests.length)
  }

  get isComplete (): boolean {
    return this.digests.length > 0 && this.chunks.size === this.digests.length
  }

  get (position: number): Buffer | undefined {
    return this.chunks.get(position)
  }

  has (position: number): boolean {
    return hasBit(this.bitmap, position)
  }

  /** The same chunks under a list of digests in which some are corrected. */
  withDigests (corrected: readonly DoubtfulDigest[]): VersionChunks {
    const digestAt = new Map(corrected.map(({ position, digest }) => [position, digest]))
    const chunks = new VersionChunks(this.model, this.version, this.digests.map((digest, position) => digestAt.get(position) ?? digest))
    for (const [position, bytes] of this.chunks) chunks.put(position, bytes)
    for (const { position, bytes } of corrected) chunks.put(position, bytes)
    return chunks
  }

  /** Whether the digest of `bytes` is the one of the chunk at `position`. */
  isValid (position: number, bytes: Buffer): boolean {
    return digestBytes(bytes) === this.digests[position]
  }

  /** Stores a valid chunk; returns false, and stores nothing, when the digest does not match. */
  put (position: number, bytes: Buffer): boolean {
    if (!this.isValid(position, bytes)) return false
    this.chunks.set(position, bytes)
    this.bitmap = withBit(this.bitmap, position)
    if (this.isComplete) this.completedAt = monotonicNow()
    return true
  }
}
