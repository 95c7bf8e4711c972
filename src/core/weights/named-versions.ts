/** Versions that operators have named for a model, as entries and agents remember them. */
import type { NamedVersion } from './version-plan.js'

/** Maximum number of named versions that are remembered for each model. */
const maximumNamedVersions = 4

/** A version that was named, with the time since some node learned of it, milliseconds; undefined for a record that was found at the start of a node. */
export interface ReportedVersion {
  readonly version: number
  readonly ageMilliseconds: number | undefined
}

/**
 * Adds a version to those known of a model, the oldest first, or moves its time to an earlier one; `known` itself when
 * nothing changes. A version of unknown age counts as named `rolloutMilliseconds` ago, so that it is required at once,
 * until its age is known: a node that starts must not use older weights past the bound. `now` in milliseconds of the
 * monotonic clock.
 */
export function mergeNamedVersion (known: readonly NamedVersion[], reported: ReportedVersion, rolloutMilliseconds: number, now: number): readonly NamedVersion[] {
  const { version, ageMilliseconds } = reported
  const isAgeUnknown = ageMilliseconds === undefined
  const since = now - (ageMilliseconds ?? rolloutMilliseconds)
  const same = known.find(named => named.version === version)
  if (same !== undefined && (isAgeUnknown || (same.isAgeUnknown !== true && since >= same.since))) return known
  const isForgotten = known.length >= maximumNamedVersions && version < (known[0]?.version ?? 0)
  if (isForgotten) return known
  const others = known.filter(named => named.version !== version)
  return [...others, isAgeUnknown ? { version, since, isAgeUnknown } : { version, since }].sort((left, right) => left.version - right.version).slice(-maximumNamedVersions)
}
