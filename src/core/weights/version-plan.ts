/** Chooses which of several named weights versions an instance fetches next. */
import { swapMilliseconds } from './delivery-estimate.js'

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
  /** Estimated time to fetch its missing chunks and to swap to it, milliseconds. */
  readonly deliveryMilliseconds: number
}

/**
 * Time before a version's cutoff from which engines with older ones get no requests, milliseconds: entries send to engines
 * with that version only, since a request may wait that long, and fetches of a large service take longer than typical.
 */
const cutoffMarginMilliseconds = 1000
/** Time for which an engine takes no requests while it swaps, milliseconds. */
const awayMilliseconds = 600
/** Time of service that one more version must gain, milliseconds: less is within the error of the estimates. */
const minimumGainMilliseconds = 200

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
 * Chooses an older version if it can still meet its cutoff and the newest cannot be served by then. Otherwise chooses
 * the first version of the order that leaves the engine without requests for the shortest time until it serves the newest
 * one. An order leaves out any versions but the newest. A version is worth its fetch if the engine may serve
 * it for some time before the next one is required, even after its own cutoff, as long as that time is more than
 * what its fetch delays the versions after it. Chunks that are already held shorten `deliveryMilliseconds`, so that a
 * fetch in progress is not abandoned halfway. Returns undefined if no version is pending.
 */
export function versionToFetch (view: VersionView): NamedVersion | undefined {
  const newest = view.pending.at(-1)
  if (newest === undefined) return undefined
  const punctual = punctualVersion(view, newest)
  if (punctual !== undefined) return punctual
  let best: { readonly first: PendingVersion, readonly cost: number } = { first: newest, cost: withoutService(view, [newest]) }
  for (const order of ordersBefore(view.pending.slice(0, -1))) {
    const first = order[0] ?? newest
    const cost = withoutService(view, [...order, newest]) + minimumGainMilliseconds * order.length
    if (cost < best.cost) best = { first, cost }
  }
  return best.first
}

/** Oldest version that can still meet its cutoff when the newest cannot be served by then; undefined if there is none. */
function punctualVersion (view: VersionView, newest: PendingVersion): PendingVersion | undefined {
  if (!view.isServing) return undefined
  const newestServedAt = Math.max(view.now, newest.since) + newest.deliveryMilliseconds
  return view.pending.find(({ version, since, deliveryMilliseconds }) => {
    const latestServedAt = since + view.cutoffMilliseconds - cutoffMarginMilliseconds
    return version < newest.version && newestServedAt > latestServedAt && view.now + deliveryMilliseconds <= latestServedAt
  })
}

/** All non-empty selections of the versions before the newest, each in ascending order; there are at most three such versions. */
function ordersBefore (versions: readonly PendingVersion[]): readonly (readonly PendingVersion[])[] {
  const [first, ...rest] = versions
  if (first === undefined) return []
  const others = ordersBefore(rest)
  return [[first], ...others, ...others.map(order => [first, ...order])]
}

/** Time within which the engine takes no requests, from now until it serves the last version of an order, milliseconds. */
function withoutService (view: VersionView, order: readonly PendingVersion[]): number {
  let lost = 0
  let { now: fetchedAt, now: servedAt } = view
  // An engine that serves nothing counts as one whose version is past its cutoff.
  let allowedUntil = view.isServing ? requiredAt(view, 0) : view.now
  for (const { version, deliveryMilliseconds } of order) {
    fetchedAt += Math.max(0, deliveryMilliseconds - swapMilliseconds)
    const nextServedAt = Math.max(servedAt, fetchedAt + Math.min(deliveryMilliseconds, swapMilliseconds))
    const unavailableFrom = Math.max(servedAt, Math.min(allowedUntil, nextServedAt - awayMilliseconds))
    lost += Math.max(0, nextServedAt - unavailableFrom)
    servedAt = nextServedAt
    allowedUntil = requiredAt(view, version)
  }
  return lost
}

/** Time from which a version newer than `served` is required, milliseconds of the monotonic clock. */
function requiredAt (view: VersionView, served: number): number {
  const next = view.pending.filter(({ version }) => version > served).map(({ since }) => since + view.cutoffMilliseconds - cutoffMarginMilliseconds)
  return Math.max(0, Math.min(Infinity, ...next))
}
