/** Whether a digest of a manifest is wrong rather than the chunks that do not match it: different sources do not spoil a chunk in the same way. */

/** Source of chunks and digests: the origin, or the IP of an agent. */
export type DigestSource = string

/** The origin of weights as a source; its digests count more than those of agents. */
export const originSource: DigestSource = 'origin'

/** Bytes that did not match the digest of their position, but arrived twice. */
export interface DoubtfulDigest {
  readonly position: number
  /** Digest of the bytes that arrived. */
  readonly digest: string
  readonly bytes: Buffer
  /** Where these bytes came from. */
  readonly sources: ReadonlySet<DigestSource>
}

/** Chunks of one version that did not match their digests. */
export class DigestDoubts {
  /** Digest of the last mismatch at each position, and the sources that sent its bytes one after another. */
  private readonly last = new Map<number, { readonly digest: string, readonly sources: ReadonlySet<DigestSource> }>()
  private readonly doubtful = new Map<number, DoubtfulDigest>()
  /** Positions at which the last list of the origin has the known digest. */
  private originAgrees: ReadonlySet<number> = new Set()

  /** Records bytes with this digest that do not match; returns whether the digest of the manifest is in doubt. */
  recordMismatch (position: number, digest: string, bytes: Buffer, source: DigestSource): boolean {
    const last = this.last.get(position)
    const isRepeated = last?.digest === digest
    const sources = new Set(isRepeated ? [...last.sources, source] : [source])
    this.last.set(position, { digest, sources })
    if (isRepeated) this.doubtful.set(position, { position, digest, bytes, sources })
    return isRepeated
  }

  /** Records a list that the origin has sent once more; returns the positions in doubt of which it has the digest that is `known` here. Until its next list no agent's list counts where it has that digest. */
  recordOriginList (digests: readonly string[], known: readonly string[]): readonly number[] {
    this.originAgrees = new Set(known.flatMap((digest, position) => digests[position] === digest ? [position] : []))
    return [...this.doubtful.keys()].filter(position => this.originAgrees.has(position))
  }

  /**
   * Digests in doubt that another list of the digests of the version, from `source`, confirms to be wrong: it has those of
   * the bytes that arrived. An agent that has the list of another version also has its chunks, so that its list confirms
   * only bytes that came from elsewhere as well.
   */
  confirmedBy (digests: readonly string[], source: DigestSource): readonly DoubtfulDigest[] {
    const isTrusted = ({ position, sources }: DoubtfulDigest): boolean => source === originSource || (!this.originAgrees.has(position) && [...sources].some(other => other !== source))
    return [...this.doubtful.values()].filter(doubt => digests[doubt.position] === doubt.digest && isTrusted(doubt))
  }
}
