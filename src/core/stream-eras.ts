/**
 * How far the eras of a stream have the same records. The log tells that it came back from a copy, but not where the copy ended;
 * that is bounded by the end of the log when the era was first seen, and by each record that differs from the one seen before.
 */
import type { LogPosition } from './log-position.js'

/** The eras `after` and `era` have no record in common from `offset` on. */
export interface Divergence {
  readonly after: number
  readonly era: number
  readonly offset: number
}

/** What a node tells others of the eras of a stream. */
export interface EraReport {
  /** The era in which it reads. */
  readonly era: number
  /** Time since some node first learned of that era, milliseconds. */
  readonly ageMilliseconds: number
  readonly divergences: readonly Divergence[]
}

/** Divergences that are remembered and reported; those of the earliest eras are dropped. */
const maximumDivergences = 8

/** Eras of one stream; times are milliseconds of the monotonic clock. */
export class StreamEras {
  private divergences: readonly Divergence[] = []
  private readonly firstKnown = new Map<number, number>()

  /** Records a divergence; returns whether less is known to be shared than before. */
  observe (divergence: Divergence): boolean {
    const { after, era, offset } = divergence
    if (after >= era || this.sharedEnd(after, era) <= offset) return false
    const others = this.divergences.filter(known => known.after !== after || known.era !== era)
    this.divergences = [...others, divergence].sort((left, right) => left.era - right.era).slice(-maximumDivergences)
    return true
  }

  /** Records that some node knew of an era at `at`. */
  observeEra (era: number, at: number): void {
    this.firstKnown.set(era, Math.min(this.firstKnown.get(era) ?? Infinity, at))
    for (const earlier of this.firstKnown.keys()) if (earlier < era - maximumDivergences) this.firstKnown.delete(earlier)
  }

  /** When some node first knew of an era; undefined if none is known to. */
  knownSince (era: number): number | undefined {
    return this.firstKnown.get(era)
  }

  /** Offset before which both eras may have the same records; infinite where nothing is known. */
  sharedEnd (after: number, era: number): number {
    const offsets = this.divergences.filter(known => known.after >= after && known.era <= era).map(({ offset }) => offset)
    return Math.min(Infinity, ...offsets)
  }

  /** Whether a record at `later`, of a later era, was written after the one at `earlier`, or is the same one. */
  isSuperseded (earlier: LogPosition, later: LogPosition): boolean {
    return later.offset >= Math.min(this.sharedEnd(earlier.era, later.era), earlier.offset)
  }

  /** What others should know of an era; undefined before anything is known of it. */
  report (era: number, now: number): EraReport | undefined {
    const since = this.knownSince(era)
    return since === undefined ? undefined : { era, ageMilliseconds: Math.max(0, Math.round(now - since)), divergences: this.divergences.filter(known => known.era <= era) }
  }
}
