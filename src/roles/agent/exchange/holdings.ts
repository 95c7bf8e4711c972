/** Manifests and verified chunks in memory; manifests share chunks with the same digest. */
import { formatBitmap, countBits, emptyBitmap, hasBit, unionBitmap, withBit, type Bitmap } from '../../../core/weights/bitmap.js'
import type { Manifest } from '../../../types/platform.js'

/** A manifest with the chunks that are held of it. */
export interface HeldWeights {
  readonly digest: string
  readonly manifest: Manifest
  /** Positions that are held and verified. */
  readonly held: Bitmap
  /** Positions that some instance of the data centre was reported to hold, this one included. */
  readonly seen: Bitmap
  /** Incremented with each change of `held` or `seen`. */
  readonly version: number
}

/** Store of chunks by digest, with the manifests that need them. */
export class Holdings {
  private readonly weights = new Map<string, HeldWeights>()
  private readonly chunks = new Map<string, Buffer>()

  get (digest: string): HeldWeights | undefined {
    return this.weights.get(digest)
  }

  chunk (digest: string): Buffer | undefined {
    return this.chunks.get(digest)
  }

  /** Total size of the chunks in memory. */
  get bytes (): number {
    let sum = 0
    for (const chunk of this.chunks.values()) sum += chunk.length
    return sum
  }

  /** Adds a manifest, or returns the known one; chunks that it shares with another manifest count as held at once. */
  addManifest (digest: string, manifest: Manifest): HeldWeights {
    const known = this.weights.get(digest)
    if (known !== undefined) return known
    const empty = emptyBitmap(manifest.chunks.length)
    const held = manifest.chunks.reduce((bitmap, chunk, position) => this.chunks.has(chunk) ? withBit(bitmap, position) : bitmap, empty)
    const added = { digest, manifest, held, seen: held, version: 1 }
    this.weights.set(digest, added)
    return added
  }

  /** Adds a chunk to every manifest that contains it; the caller has verified its digest. */
  addChunk (digest: string, bytes: Buffer): void {
    this.chunks.set(digest, bytes)
    for (const weights of this.weights.values()) {
      const positions = weights.manifest.chunks.flatMap((chunk, position) => chunk === digest ? [position] : [])
      if (positions.length === 0) continue
      const held = positions.reduce(withBit, weights.held)
      this.weights.set(weights.digest, { ...weights, held, seen: unionBitmap(weights.seen, held), version: weights.version + 1 })
    }
  }

  /** Merges positions that instances of the data centre report to hold. */
  mergeSeen (digest: string, reported: Bitmap): void {
    const weights = this.weights.get(digest)
    if (weights === undefined) return
    const seen = unionBitmap(weights.seen, reported)
    if (seen.every((byte, index) => byte === weights.seen[index])) return
    this.weights.set(digest, { ...weights, seen, version: weights.version + 1 })
  }

  /** Evicts all other manifests, and the chunks that only they need. */
  retainOnly (digests: readonly string[]): void {
    for (const digest of [...this.weights.keys()]) {
      if (!digests.includes(digest)) this.weights.delete(digest)
    }
    const needed = new Set([...this.weights.values()].flatMap(({ manifest }) => manifest.chunks))
    for (const chunk of [...this.chunks.keys()]) {
      if (!needed.has(chunk)) this.chunks.delete(chunk)
    }
  }
}

/** Number of held chunks. */
export function heldCount (weights: HeldWeights): number {
  return countBits(weights.held, weights.manifest.chunks.length)
}

/** Whether every chunk of the manifest is held. */
export function hasAllChunks (weights: HeldWeights): boolean {
  return weights.manifest.chunks.every((_, position) => hasBit(weights.held, position))
}

/** Headers that report the holdings of this instance to a peer. */
export function heldHeaders (weights: HeldWeights): Readonly<Record<string, string>> {
  return { [heldHeaderNames.manifest]: weights.digest, [heldHeaderNames.held]: formatBitmap(weights.held), [heldHeaderNames.seen]: formatBitmap(weights.seen) }
}

/** Names of the HTTP headers between agents. */
export const heldHeaderNames = {
  manifest: 'pollendyke-manifest',
  held: 'pollendyke-held',
  seen: 'pollendyke-seen',
  instance: 'pollendyke-instance',
  dataCentre: 'pollendyke-data-centre',
  /** Epoch milliseconds by which the sender's rollout should end. */
  finishBy: 'pollendyke-finish-by',
  /** Milliseconds after which to retry a busy peer; the receiver turns them into a deadline. */
  retryMilliseconds: 'pollendyke-retry-milliseconds'
} as const
