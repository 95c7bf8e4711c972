/** Chooses which of several named weights versions an instance fetches next. */

/** A version that operators have named as the one to serve. */
export interface NamedVersion {
  readonly version: number
  /** Earliest known time at which a node learned of it, milliseconds of the monotonic clock; operators named it before that. */
  readonly since: number
  /** Set where no node has told since when it is named: `since` then assumes that its cutoff has passed. */
  readonly isAgeUnknown?: true
}

/** Named version that the engine does not serve yet. */
export interface PendingVersion extends NamedVersion {
  /** Typical time to fetch its missing chunks and to swap to it, milliseconds. */
  readonly deliveryMilliseconds: number
}

/** Safety margin before a version's cutoff, milliseconds: fetches of a large service take up to that much longer than typical. */
const cutoffMarginMilliseconds = 1000

/** Input of the choice; all times are milliseconds of the monotonic clock. */
export interface VersionView {
  readonly now: number
  /** Versions that the engine does not serve yet, oldest first. */
  readonly pending: readonly PendingVersion[]
  /** Time from the naming of a version to its cutoff, when requests may start on it only, milliseconds. */
  readonly cutoffMilliseconds: number
  /** Whether the engine serves any version now. */
  readonly isServing: boolean
}

/**
 * Chooses the newest version if it can be served before the cutoff of every older one. Otherwise the older one comes
 * first, as long as it can still meet its cutoff: without it the engine could serve no request between that cutoff and
 * the arrival of the newest version. Chunks that are already held shorten `deliveryMilliseconds`, so that a fetch in
 * progress is not abandoned halfway. Returns undefined if no version is pending.
 */
export function versionToFetch (view: VersionView): NamedVersion | undefined {
  const newest = view.pending.at(-1)
  if (newest === undefined || !view.isServing) return newest
  const newestServedAt = Math.max(view.now, newest.since) + newest.deliveryMilliseconds
  const older = view.pending.find(({ version, since, deliveryMilliseconds }) => {
    const latestServedAt = since + view.cutoffMilliseconds - cutoffMarginMilliseconds
    return version < newest.version && newestServedAt > latestServedAt && view.now + deliveryMilliseconds <= latestServedAt
  })
  return older ?? newest
}
