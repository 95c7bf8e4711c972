/**
 * Whether a removed record of the instance list may only have lapsed. Instances renew their records with heartbeats; while the
 * log is unavailable they cannot, and the log may remove records of living instances. It is back once they have renewed them.
 */
import type { StreamName } from '../../types/ports.js'
import type { LostRetention } from '../record-merge.js'

/** Time that instances have to write lapsed records again once the log answers, milliseconds. */
export const lapseGraceMilliseconds = 2000
/** Time in which operators and instances have written again what the log lost when it came back from an older copy, or are known to be gone, milliseconds. */
const rewriteMilliseconds = 10_000
/** How long records that the log lost stay in force: an instance that is not listed again is used no longer than one whose record lapsed. */
export const lostRetentions: Readonly<Record<StreamName, LostRetention>> = {
  operators: { missing: rewriteMilliseconds, older: rewriteMilliseconds },
  instances: { missing: lapseGraceMilliseconds, older: rewriteMilliseconds },
  entries: { missing: lapseGraceMilliseconds, older: rewriteMilliseconds }
}
/** Heartbeat intervals without the log before a record can lapse: it lapses after three without a heartbeat, and the last one may have been sent up to one before the log became unavailable. */
const heartbeatsBeforeLapse = 2

/** What is known of the log's availability; times are milliseconds of the monotonic clock. */
export interface LogAvailability {
  /** When the log last confirmed that all its records had been read; undefined before the first time. */
  readonly confirmedAt: number | undefined
  /** When it first did so after the last outage in which records may have lapsed; undefined if there was none. */
  readonly returnedAt: number | undefined
}

/** Before the first confirmation. */
export const unknownAvailability: LogAvailability = { confirmedAt: undefined, returnedAt: undefined }

/** Availability after a confirmation `at`, of which the entry may learn late and out of order. */
export function recordConfirmation (known: LogAvailability, at: number, heartbeatMilliseconds: number): LogAvailability {
  if (known.confirmedAt === undefined) return { confirmedAt: at, returnedAt: undefined }
  if (at <= known.confirmedAt) return known
  return { confirmedAt: at, returnedAt: mayHaveLapsed(known.confirmedAt, at, heartbeatMilliseconds) ? at : known.returnedAt }
}

/** Until when an upstream is used whose record is found to be removed `now`; `now` or earlier for one that left. */
export function retainUntil ({ confirmedAt, returnedAt }: LogAvailability, now: number, heartbeatMilliseconds: number): number {
  if (confirmedAt === undefined) return now
  // The record came by way of another node, so the log answers again.
  if (mayHaveLapsed(confirmedAt, now, heartbeatMilliseconds)) return now + lapseGraceMilliseconds
  return returnedAt === undefined ? now : returnedAt + lapseGraceMilliseconds
}

function mayHaveLapsed (confirmedAt: number, answeredAt: number, heartbeatMilliseconds: number): boolean {
  return answeredAt - confirmedAt >= heartbeatsBeforeLapse * heartbeatMilliseconds
}
