/** Versions of weights that operators have named for rollout, as known to one agent. */
import { cutoffLeadMilliseconds } from '../../core/weights/swap-schedule.js'
import { versionToFetch, type NamedVersion } from '../../core/weights/version-plan.js'
import type { NamedWeights } from '../../types/fleet.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('agent')

/** Version that engines get before operators name one. */
const initialVersion = 1
/** Maximum number of named versions that are remembered per model. */
const maximumNamedVersions = 4

/** Named versions of each model, the oldest first. */
export class NamedVersions {
  private readonly named = new Map<string, readonly NamedVersion[]>()
  private readonly startedAt = monotonicNow()

  /** `rolloutMilliseconds`: time from the naming of a version until new requests run on that version only. */
  constructor (private readonly rolloutMilliseconds: number) {}

  /** Adds a version unless a newer one is known; `isFirst` marks a record that was found at the start, for the log. */
  add (weights: NamedWeights, isFirst: boolean): void {
    const { model, version } = weights
    const named = this.named.get(model) ?? []
    if (version <= (named.at(-1)?.version ?? 0)) return
    this.named.set(model, [...named, { version, since: monotonicNow() }].slice(-maximumNamedVersions))
    log.info('weights are named', { model, version, isFirst })
  }

  /** A version with the time at which it was named; one that was never named counts from the start of this process. */
  find (model: string, version: number): NamedVersion {
    return this.named.get(model)?.find(named => named.version === version) ?? { version, since: this.startedAt }
  }

  /**
   * The version to fetch next for an engine that serves `served` while this agent holds `held` completely; the newest
   * when nothing is pending. `estimateMilliseconds` estimates the time until a version is served.
   */
  next (model: string, served: number, held: number, estimateMilliseconds: (version: number) => number): NamedVersion {
    const named = this.named.get(model) ?? []
    const pending = named
      .filter(({ version }) => version > Math.max(served, held))
      .map(pendingVersion => ({ ...pendingVersion, deliveryMilliseconds: estimateMilliseconds(pendingVersion.version) }))
    const view = { now: monotonicNow(), pending, cutoffMilliseconds: this.rolloutMilliseconds, isServing: served > 0 }
    return versionToFetch(view) ?? named.at(-1) ?? this.find(model, initialVersion)
  }

  /** Whether new requests no longer run on `served`, since a newer version's rollout deadline is near or past. */
  isPastDeadline (served: number, now: number): boolean {
    const since = now - this.rolloutMilliseconds + cutoffLeadMilliseconds
    return [...this.named.values()].flat().some(named => named.version > served && named.since <= since)
  }
}
