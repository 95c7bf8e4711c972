/** Which version an agent fetches next, and when its engine can serve it. */
import { readyInMilliseconds } from '../../core/weights/ready-time.js'
import type { NamedVersion } from '../../core/weights/version-plan.js'
import type { RolloutFacts } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'
import type { NamedVersions } from './named-versions.js'
import type { VersionCache } from './version-cache.js'

/** Time from the naming of a version until every engine can swap to it, in times of one copy on the machine's link. */
const rolloutCopies = 1.3
/** Time of a swap once a copy is complete, milliseconds. */
const swapMilliseconds = 1000

/** Dependencies of a plan. */
export interface DeliveryPlanContext {
  readonly named: NamedVersions
  readonly versions: VersionCache
  /** Capacity of the machine's link; 0 for no limit. */
  readonly linkBytesPerSecond: number
  /** Facts of the configuration; undefined before the first. */
  facts (): RolloutFacts | undefined
}

/** Choices of one agent; it keeps no state of its own. */
export class DeliveryPlan {
  constructor (private readonly context: DeliveryPlanContext) {}

  /** The version to fetch next for an engine that serves `served`, or the newest once it is complete here, since peers may still fetch it. */
  versionToFetch (model: string, served: number): NamedVersion {
    const { named, versions } = this.context
    const held = versions.newestComplete(model)?.version ?? 0
    return named.next(model, served, held, version => this.estimateRolloutMilliseconds(model, version))
  }

  /** Estimated milliseconds until the engine takes requests: 0 while it does, -1 if unknown. */
  readyInMilliseconds (served: number, isSwapping: boolean): number {
    const now = monotonicNow()
    const { named, versions } = this.context
    return readyInMilliseconds({ now, isServing: served > 0 && !named.isPastDeadline(served, now), isSwapping, progress: versions.progress })
  }

  /** Estimated time until a version is served everywhere, from the share of chunks missing here, milliseconds. */
  private estimateRolloutMilliseconds (model: string, version: number): number {
    const { versions, linkBytesPerSecond } = this.context
    const facts = this.context.facts()
    const bytes = (facts?.chunkBytes ?? 0) * (facts?.chunkCount ?? 0)
    const copyMilliseconds = linkBytesPerSecond === 0 ? 0 : bytes / linkBytesPerSecond * 1000
    const chunks = versions.get(model, version)
    const missingShare = chunks === undefined ? 1 : 1 - chunks.heldCount / chunks.digests.length
    return copyMilliseconds * rolloutCopies * missingShare + swapMilliseconds
  }
}
