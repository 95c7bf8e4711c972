/** Which version an agent fetches next, and when its engine can serve it. */
import { countBits, unionOf } from '../../core/weights/bitmap.js'
import { estimateDelivery, type Delivery } from '../../core/weights/delivery-estimate.js'
import { originCopyMilliseconds } from '../../core/weights/origin-copy.js'
import { readyInMilliseconds } from '../../core/weights/ready-time.js'
import type { NamedVersion } from '../../core/weights/version-plan.js'
import type { RolloutFacts } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'
import type { NamedVersions } from './named-versions.js'
import type { PeerTable } from './peer-table.js'
import type { VersionCache } from './version-cache.js'

/** Dependencies of a plan. */
export interface DeliveryPlanContext {
  readonly named: NamedVersions
  readonly versions: VersionCache
  readonly peers: PeerTable
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
    return named.next(model, served, held, version => this.estimate(model, version).milliseconds)
  }

  /** Estimated milliseconds until the engine takes requests: 0 while it does, -1 if unknown. */
  readyInMilliseconds (model: string | undefined, served: number, isSwapping: boolean): number {
    const { named, versions } = this.context
    const now = monotonicNow()
    const isServing = served > 0 && !named.isPastDeadline(served, now)
    const isEstimated = model !== undefined && !isServing && !isSwapping
    const delivery = isEstimated ? this.estimate(model, this.awaitedVersion(model, served)) : undefined
    return readyInMilliseconds({ isServing, isSwapping, delivery, isComplete: model !== undefined && (versions.newestComplete(model)?.version ?? 0) > served })
  }

  /** Version that the engine serves next: one that is complete here, or the one to fetch. */
  private awaitedVersion (model: string, served: number): number {
    const complete = this.context.versions.newestComplete(model)?.version ?? 0
    return complete > served ? complete : this.versionToFetch(model, served).version
  }

  /** When a version can be served here, from what this agent and those that it hears of hold. */
  private estimate (model: string, version: number): Delivery {
    const { versions, peers, linkBytesPerSecond } = this.context
    const facts = this.context.facts()
    const chunks = versions.get(model, version)
    const total = chunks?.digests.length ?? facts?.chunkCount ?? 0
    const chunkBytes = facts?.chunkBytes ?? 0
    const holders = peers.holders(model, version, total).flatMap(({ held, heldInDataCentre }) => [held, heldInDataCentre])
    const known = unionOf(total, chunks === undefined ? holders : [chunks.held, ...holders])
    return estimateDelivery({
      total,
      chunkBytes,
      missingHere: total - (chunks?.heldCount ?? 0),
      missingEverywhere: total - countBits(known, total),
      originCopyMilliseconds: originCopyMilliseconds(total * chunkBytes, facts?.origin?.bytesPerSecond ?? 0),
      linkBytesPerSecond,
      isOriginAway: facts?.origin === undefined || versions.originOutage.isAway(monotonicNow())
    })
  }
}
