/** Whether the configuration in force may be relied on: confirmed by the log, by peers, or kept through an outage of the log. */
import type { Deployment } from '../../types/configuration.js'

/** How long a read of the log's head confirms the configuration, milliseconds. */
export const confirmationValidityMilliseconds = 4000
/** How long a witness of the log's outage counts, milliseconds. */
export const outageReportValidityMilliseconds = 4000
/** Time between two statements of a witness, milliseconds. */
export const outageReportIntervalMilliseconds = 800
/** A node beside the log whose own confirmation has less than this left may be a witness, milliseconds. */
export const outageReportBelowMilliseconds = 2000

/** Deadlines of a node's knowledge, epoch milliseconds of its own steady clock. */
export interface Confirmation {
  /** Until when the configuration is known to have been the head of the log. */
  readonly confirmedUntil: number
  /** Until when a node beside the log is known to have found it down. */
  readonly outageUntil: number
}

/** What a peer says: milliseconds left of its own deadlines, so that clocks need not agree. */
export interface PeerConfirmation {
  readonly confirmedMilliseconds: number
  readonly outageMilliseconds: number
}

/** What a node knows about its surroundings when it judges the log. */
export interface OutageEvidence {
  /** Whether the node runs in the data centre of the log. */
  readonly isInLogDataCentre: boolean
  /** Whether the node tried the log itself and got no answer since. */
  readonly isLogFailing: boolean
  /** Whether a node of the same data centre was heard lately, or the list has none. */
  readonly hasResponsivePeer: boolean
}

/** Knowledge of a node that has heard nothing. */
export const unconfirmed: Confirmation = { confirmedUntil: 0, outageUntil: 0 }

/** The log was read to its head by a request sent at `sentAt`. */
export function confirmByRead (known: Confirmation, sentAt: number): Confirmation {
  return { ...known, confirmedUntil: Math.max(known.confirmedUntil, sentAt + confirmationValidityMilliseconds) }
}

/**
 * A peer answered a question that was sent at `askedAt`. Its answer was made after that, so no delay, pause or
 * cycle of peers can extend a deadline. A node that lacks records of the peer takes no confirmation from it.
 */
export function confirmByPeer (known: Confirmation, peer: PeerConfirmation, askedAt: number, caughtUp: boolean): Confirmation {
  const confirmed = caughtUp ? askedAt + Math.min(peer.confirmedMilliseconds, confirmationValidityMilliseconds) : 0
  const outage = askedAt + Math.min(peer.outageMilliseconds, outageReportValidityMilliseconds)
  return {
    confirmedUntil: peer.confirmedMilliseconds > 0 ? Math.max(known.confirmedUntil, confirmed) : known.confirmedUntil,
    outageUntil: peer.outageMilliseconds > 0 ? Math.max(known.outageUntil, outage) : known.outageUntil
  }
}

/** A node beside the log that cannot read it, though its neighbours hear it, is a witness of the outage. */
export function reportOutage (known: Confirmation, around: OutageEvidence, now: number): Confirmation {
  const isWitness = around.isInLogDataCentre && around.isLogFailing && around.hasResponsivePeer && remainingMilliseconds(known.confirmedUntil, now) < outageReportBelowMilliseconds
  const statedLately = remainingMilliseconds(known.outageUntil, now) > outageReportValidityMilliseconds - outageReportIntervalMilliseconds
  if (!isWitness || statedLately) return known
  return { ...known, outageUntil: Math.max(known.outageUntil, now + outageReportValidityMilliseconds) }
}

/** What the node tells its peers. */
export function toPeerConfirmation (known: Confirmation, now: number): PeerConfirmation {
  return { confirmedMilliseconds: remainingMilliseconds(known.confirmedUntil, now), outageMilliseconds: remainingMilliseconds(known.outageUntil, now) }
}

/** Whether the node may take new work. */
export function mayTakeWork (known: Confirmation, whenIsolated: Deployment['whenIsolated'], now: number): boolean {
  return whenIsolated === 'serve' || now < known.confirmedUntil || now < known.outageUntil
}

function remainingMilliseconds (deadline: number, now: number): number {
  return Math.max(0, Math.floor(deadline - now))
}
