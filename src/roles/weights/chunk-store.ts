/** Chunks of weights in an agent's memory, verified by their digests. */
import { countBits, emptyBitmap, hasBit, withBit, type Bitmap } from '../../core/weights/bitmap.js'
import { steadyNow } from '../../utils/clock.js'
import { digestBytes } from '../../utils/digest.js'

/** One version of a model's weights. */
export class VersionChunks {
  private readonly chunks = new Map<number, Buffer>()
  private bitmap: Bitmap
  /** Steady milliseconds at which the last chunk came; 0 before. */
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
    return this.chunks.size === this.digests.length
  }

  get (position: number): Buffer | undefined {
    return this.chunks.get(position)
  }

  has (position: number): boolean {
    return hasBit(this.bitmap, position)
  }

  /** Whether bytes are the chunk of a position. */
  isValid (position: number, bytes: Buffer): boolean {
    return digestBytes(bytes) === this.digests[position]
  }

  /** Keeps a chunk whose digest is right; false for any other. */
  put (position: number, bytes: Buffer): boolean {
    if (!this.isValid(position, bytes)) return false
    this.chunks.set(position, bytes)
    this.bitmap = withBit(this.bitmap, position)
    if (this.isComplete) this.completedAt = steadyNow()
    return true
  }
}
