/** Until when requests may start on given weights. Times in milliseconds of the monotonic clock. */
import { cutoffLeadMilliseconds } from './swap-schedule.js'
import type { NamedVersion } from './version-plan.js'

/** Version that serves while none is named. */
export const firstVersion = 1

/**
 * Time before the bound at which requests that have not begun are withdrawn from upstreams with older weights,
 * milliseconds: covers how late entries learn of a name, a delayed event loop, and the close of a connection on its way to
 * another region. Most requests sent up to the cutoff begin before it.
 */
export const withdrawalLeadMilliseconds = 500

/** When a request that has not begun on `version` is withdrawn from its upstream; undefined while no newer one is named. `rolloutMilliseconds` as in `minimumVersionAt`. */
export function withdrawalAt (named: readonly NamedVersion[], version: number, rolloutMilliseconds: number): number | undefined {
  const newer = named.filter(other => other.version > version)
  return newer.length === 0 ? undefined : Math.min(...newer.map(({ since }) => since)) + rolloutMilliseconds - withdrawalLeadMilliseconds
}

/** Lowest version on which a request may be sent at `now`, 0 for any. Requests begin on a named version only from `rolloutMilliseconds` after it became known; the lead is for their wait at the upstream. */
export function minimumVersionAt (named: readonly NamedVersion[], rolloutMilliseconds: number, now: number): number {
  const required = named.filter(({ since }) => now >= since + rolloutMilliseconds - cutoffLeadMilliseconds)
  return Math.max(0, ...required.map(({ version }) => version))
}

/**
 * Version that an upstream is asked to expect: the one that the entry takes it to serve, from the first named one on, since
 * a request at an upstream that is taken to serve a named version is not withdrawn. Undefined for the first version: an
 * upstream that has swapped from it may serve the request as well.
 */
export function expectedVersion (version: number | undefined): number | undefined {
  return version === undefined || version <= firstVersion ? undefined : version
}
