/** One agent of the replay of the exchange, with its fetch of each version. */
import { countBits, emptyBitmap, unionOf, type Bitmap } from '../../src/core/weights/bitmap.js'
import { originPlaces, type FetchRanks } from '../../src/core/weights/distribution-plan.js'
import { OriginState } from '../../src/core/weights/origin-state.js'
import { Pipe } from './pipe.js'

/** What an agent was told about a version; `at` in milliseconds of the replay. */
export interface Known { readonly held: Bitmap, readonly heldInDataCentre: Bitmap, readonly at: number }

/** Age from which an announcement is ignored, milliseconds. */
const announcementLifeMilliseconds = 3000

/** Chunks of one version at one agent. */
export class ReplayCopy {
  held: Bitmap
  heldCount = 0
  completeAt = Infinity
  readonly known = new Map<number, Known>()
  readonly offeredAt = new Map<number, number>()

  constructor (readonly version: number, readonly total: number) {
    this.held = emptyBitmap(total)
  }

  isComplete (): boolean {
    return this.heldCount === this.total
  }

  recent (now: number): readonly (readonly [number, Known])[] {
    return [...this.known].filter(([, { at }]) => now - at <= announcementLifeMilliseconds)
  }

  knownAt (now: number): Bitmap {
    return unionOf(this.total, [this.held, ...this.recent(now).flatMap(([, { held, heldInDataCentre }]) => [held, heldInDataCentre])])
  }
}

/** Fetch of one version in progress. */
export class ReplayFetch {
  readonly inFlight = new Set<number>()
  readonly failures = new Map<number, number>()
  originInFlight = 0
  isStopped = false
  readonly origin: OriginState
  originPlaces: readonly number[]

  constructor (readonly copy: ReplayCopy, now: number, originCopyMilliseconds: number) {
    const known = copy.knownAt(now)
    this.origin = new OriginState(now, countBits(known, copy.total), originCopyMilliseconds)
    this.originPlaces = originPlaces(copy.total, known)
  }
}

/** State of one agent. */
export class ReplayAgent {
  readonly copies = new Map<number, ReplayCopy>()
  fetch: ReplayFetch | undefined
  readonly fetches = new Map<number, number>()
  readonly retryAt = new Map<number, number>()
  readonly down: Pipe
  readonly up: Pipe
  uploads = 0
  uploadMilliseconds = 0
  isDirty = true
  isDead = false
  /** Version that is to be fetched, and since when. */
  wanted = { version: 0, at: 0 }
  manifestAskedAt = -Infinity
  /** Versions served, and from when on. */
  readonly served: { readonly version: number, readonly at: number }[] = [{ version: 1, at: 0 }]

  constructor (readonly index: number, readonly dataCentre: number, readonly ranks: FetchRanks, readonly total: number, bytesPerSecond: number, uploadShare: number) {
    this.down = new Pipe(bytesPerSecond, 0)
    this.up = new Pipe(bytesPerSecond * uploadShare, 0)
  }

  copy (version: number): ReplayCopy {
    const copy = this.copies.get(version) ?? new ReplayCopy(version, this.total)
    this.copies.set(version, copy)
    return copy
  }

  /** Version that the engine serves at `now`. */
  servedAt (now: number): number {
    return Math.max(...this.served.filter(({ at }) => at <= now).map(({ version }) => version))
  }
}
