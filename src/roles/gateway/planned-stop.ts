/** The planned stop of an entry: when it closes its connections. */
import type { StopTimes } from '../../core/dispatch/stop-admission.js'
import type { GatewaySettings } from '../../types/node-settings.js'

/** Part of the time for a planned stop that is reserved for the exit of the process, milliseconds. */
const shutdownReserveMilliseconds = 700
/** Callers may cache an answer of the directory for this many times its stated lifetime. */
const directoryCacheFactor = 3
/** Time without a request after which no caller is expected to send another one, milliseconds. */
const quietMilliseconds = 1000

/** Times of the planned stop that begins at `now`, in milliseconds of the monotonic clock. */
export function stopTimesFrom (now: number, settings: GatewaySettings): StopTimes {
  return {
    closesAt: now + settings.stopGraceMilliseconds - shutdownReserveMilliseconds,
    cachedUntil: now + settings.directoryCacheSeconds * 1000 * directoryCacheFactor
  }
}

/** Whether a stopping entry may close: callers no longer cache its address, no request is in progress and none has arrived lately, or the time is up. */
export function mayClose ({ closesAt, cachedUntil }: StopTimes, requests: { readonly active: number, readonly lastAt: number }, now: number): boolean {
  if (now >= closesAt) return true
  return requests.active === 0 && now >= cachedUntil && now - requests.lastAt >= quietMilliseconds
}
