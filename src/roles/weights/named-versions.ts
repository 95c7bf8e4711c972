/** Versions of weights that operators have named for rollout, as known to one agent. */
import { mergeNamedVersion, type ReportedVersion } from '../../core/weights/named-versions.js'
import { cutoffLeadMilliseconds } from '../../core/weights/swap-schedule.js'
import { versionToFetch, type NamedVersion } from '../../core/weights/version-plan.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('agent')

/** Version that engines get before operators name one. */
const initialVersion = 1

/** Named versions of each model, the oldest first. */
export class NamedVersions {
  private readonly named = new Map<string, readonly NamedVersion[]>()
  private readonly startedAt = monotonicNow()

  /** `rolloutMilliseconds`: time from the naming of a version until new requests run on that version only. */
  constructor (private readonly rolloutMilliseconds: number) {}

  /** Adds a version that `source` reports, an entry's IP or `log`, or corrects the time at which a known one was named. */
  merge (model: string, reported: ReportedVersion, source: string): void {
    const known = this.named.get(model) ?? []
    const merged = mergeNamedVersion(known, reported, this.rolloutMilliseconds, monotonicNow())
    this.named.set(model, merged)
    const { version, ageMilliseconds } = reported
    if (merged !== known && !known.some(named => named.version === version)) log.info('weights are named', { model, version, source, ageMilliseconds: Math.round(ageMilliseconds ?? -1) })
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
