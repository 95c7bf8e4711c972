/** Which of several named versions an instance gets next. */

/** A named version. */
export interface NamedVersion {
  readonly version: number
  /** Steady milliseconds at which its name was known. */
  readonly since: number
}

/** A named version that the engine does not serve yet. */
export interface PendingVersion extends NamedVersion {
  /** Usual time to fetch the chunks that are still missing and to change to the version, milliseconds. */
  readonly deliveryMilliseconds: number
}

/** Time by which the newest version must come before an older bound, milliseconds: fetches of a large service take up to that much longer than usual. */
const cutoffMarginMilliseconds = 1000

/** What the decision looks at. */
export interface VersionView {
  readonly now: number
  /** Versions that the engine does not serve yet, the oldest first. */
  readonly pending: readonly PendingVersion[]
  /** Time from a name to the bound from which requests begin on it only, milliseconds. */
  readonly cutoffMilliseconds: number
  /** Whether the engine serves anything now. */
  readonly isServing: boolean
}

/**
 * The newest version when it can be served before an older one binds; else the older one first, as long as it can still
 * come in time: otherwise nobody may be served between the older one's bound and the newest one's arrival. What is held
 * of a version counts, so that a fetch under way is not given up halfway.
 */
export function versionToFetch (view: VersionView): NamedVersion | undefined {
  const newest = view.pending.at(-1)
  if (newest === undefined || !view.isServing) return newest
  const newestServedAt = Math.max(view.now, newest.since) + newest.deliveryMilliseconds
  const older = view.pending.find(({ version, since, deliveryMilliseconds: bringMilliseconds }) => {
    const latestServedAt = since + view.cutoffMilliseconds - cutoffMarginMilliseconds
    return version < newest.version && newestServedAt > latestServedAt && view.now + bringMilliseconds <= latestServedAt
  })
  return older ?? newest
}
