/** Whether a digest of a manifest is wrong rather than the chunks that do not match it: different sources do not spoil a chunk in the same way. */

/** Bytes that did not match the digest of their position, but arrived twice. */
export interface DoubtfulDigest {
  readonly position: number
  /** Digest of the bytes that arrived. */
  readonly digest: string
  readonly bytes: Buffer
}

/** Chunks of one version that did not match their digests. */
export class DigestDoubts {
  /** Digest of the last mismatch at each position. */
  private readonly last = new Map<number, string>()
  private readonly doubtful = new Map<number, DoubtfulDigest>()

  /** Records bytes with this digest that do not match; returns whether the digest of the manifest is in doubt. */
  recordMismatch (position: number, digest: string, bytes: Buffer): boolean {
    const isRepeated = this.last.get(position) === digest
    this.last.set(position, digest)
    if (isRepeated) this.doubtful.set(position, { position, digest, bytes })
    return isRepeated
  }

  /** Digests in doubt that another list of the digests of the version confirms to be wrong: it has those of the bytes that arrived. */
  confirmedBy (digests: readonly string[]): readonly DoubtfulDigest[] {
    return [...this.doubtful.values()].filter(({ position, digest }) => digests[position] === digest)
  }
}
