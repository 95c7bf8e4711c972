/** Versions that operators have named for a model, as entries and agents remember them. */
import type { NamedVersion } from './version-plan.js'

/** Maximum number of named versions that are remembered for each model. */
const maximumNamedVersions = 4

/** A version that was named, with the time since some node learned of it, milliseconds. */
export interface ReportedVersion {
  readonly version: number
  readonly ageMilliseconds: number
}

/**
 * Adds a version to those known of a model, the oldest first, or moves its time to an earlier one; `known` itself when
 * nothing changes. An age of `rolloutMilliseconds` or more may come from a node that found the record at its start; it
 * does not replace a known time. `now` in milliseconds of the monotonic clock.
 */
export function mergeNamedVersion (known: readonly NamedVersion[], reported: ReportedVersion, rolloutMilliseconds: number, now: number): readonly NamedVersion[] {
  const { version, ageMilliseconds } = reported
  const since = now - ageMilliseconds
  const same = known.find(named => named.version === version)
  if (same !== undefined && (ageMilliseconds >= rolloutMilliseconds || since >= same.since)) return known
  const isForgotten = known.length >= maximumNamedVersions && version < (known[0]?.version ?? 0)
  if (isForgotten) return known
  const others = known.filter(named => named.version !== version)
  return [...others, { version, since }].sort((left, right) => left.version - right.version).slice(-maximumNamedVersions)
}
