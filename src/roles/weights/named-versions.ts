/** Versions of weights that operators have named, as an agent knows them. */
import { cutoffLeadMilliseconds } from '../../core/weights/swap-schedule.js'
import { versionToFetch, type NamedVersion } from '../../core/weights/version-plan.js'
import type { NamedWeights } from '../../types/fleet.js'
import { steadyNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('agent')

/** Version of the weights that engines hold before any is named. */
const initialVersion = 1
/** Named versions of a model that are remembered. */
const maximumNamedVersions = 4

/** Named versions, the oldest first. */
export class NamedVersions {
  private readonly named = new Map<string, readonly NamedVersion[]>()
  private readonly startedAt = steadyNow()

  /** `boundMilliseconds`: from a name until requests begin on that version only. */
  constructor (private readonly rolloutMilliseconds: number) {}

  /** Takes a name; `isFirst` marks one that was found at the start. */
  add (weights: NamedWeights, isFirst: boolean): void {
    const { model, version } = weights
    const named = this.named.get(model) ?? []
    if (version <= (named.at(-1)?.version ?? 0)) return
    this.named.set(model, [...named, { version, since: steadyNow() }].slice(-maximumNamedVersions))
    log.info('weights are named', { model, version, isFirst })
  }

  /** A version with the time of its name; one that was never named counts from the start of this process. */
  find (model: string, version: number): NamedVersion {
    return this.named.get(model)?.find(named => named.version === version) ?? { version, since: this.startedAt }
  }

  /**
   * The version to fetch next for an engine that serves `served` while `held` is whole here; the newest where nothing
   * is pending. `bringMilliseconds` tells the usual time until a version is served here.
   */
  next (model: string, served: number, held: number, estimateMilliseconds: (version: number) => number): NamedVersion {
    const named = this.named.get(model) ?? []
    const pending = named
      .filter(({ version }) => version > Math.max(served, held))
      .map(pendingVersion => ({ ...pendingVersion, deliveryMilliseconds: estimateMilliseconds(pendingVersion.version) }))
    const view = { now: steadyNow(), pending, cutoffMilliseconds: this.rolloutMilliseconds, isServing: served > 0 }
    return versionToFetch(view) ?? named.at(-1) ?? this.find(model, initialVersion)
  }

  /** Whether requests no longer begin on a served version. */
  isPastDeadline (served: number, now: number): boolean {
    const since = now - this.rolloutMilliseconds + cutoffLeadMilliseconds
    return [...this.named.values()].flat().some(named => named.version > served && named.since <= since)
  }
}
