/** Confirmation of the configuration in force: by the log, by peers, or by reports that the log is down for every node. */
import type { Deployment } from '../../types/configuration.js'

/** Time for which a read up to the log's head confirms the configuration. */
export const confirmationValidityMilliseconds = 4000
/** Time for which a report of an outage of the log is valid. */
export const outageReportValidityMilliseconds = 4000
/** Time between two reports of the same node. */
export const outageReportIntervalMilliseconds = 800
/** A node reports an outage only when its own confirmation expires within this time. */
export const outageReportBelowMilliseconds = 2000

/** Deadlines up to which a node may rely on its configuration, epoch milliseconds of its own monotonic clock. */
export interface Confirmation {
  /** Deadline of the confirmation that the configuration was at the head of the log. */
  readonly confirmedUntil: number
  /** Deadline of the latest report that a node in the data centre of the log found it down. */
  readonly outageUntil: number
}

/** Confirmation in the form sent to peers: milliseconds left until each deadline, so that clocks need not agree. */
export interface PeerConfirmation {
  readonly confirmedMilliseconds: number
  readonly outageMilliseconds: number
}

/** What a node knows about the log and its peers when it decides whether the log is down. */
export interface OutageEvidence {
  /** Whether the node runs in the data centre of the log. */
  readonly isInLogDataCentre: boolean
  /** Whether the node's last attempt to read the log failed. */
  readonly isLogFailing: boolean
  /** Whether another node of the same data centre responded recently, or the instance list has none. */
  readonly hasResponsivePeer: boolean
}

/** Confirmation of a node that has received nothing yet. */
export const unconfirmed: Confirmation = { confirmedUntil: 0, outageUntil: 0 }

/** Extends the confirmation after a read up to the log's head; `sentAt` is when the request was sent. */
export function confirmByRead (known: Confirmation, sentAt: number): Confirmation {
  return { ...known, confirmedUntil: Math.max(known.confirmedUntil, sentAt + confirmationValidityMilliseconds) }
}

/**
 * Extends the confirmation by the answer of a peer to a request sent at `askedAt`. Remaining times count from `askedAt`,
 * which is before the peer answered, so no delay, pause or cycle of peers can extend a deadline.
 * A node that lacks records of the peer (`isCaughtUp` is false) takes no confirmation from it, only outage reports.
 */
export function confirmByPeer (known: Confirmation, peer: PeerConfirmation, askedAt: number, isCaughtUp: boolean): Confirmation {
  const confirmed = isCaughtUp ? askedAt + Math.min(peer.confirmedMilliseconds, confirmationValidityMilliseconds) : 0
  const outage = askedAt + Math.min(peer.outageMilliseconds, outageReportValidityMilliseconds)
  return {
    confirmedUntil: peer.confirmedMilliseconds > 0 ? Math.max(known.confirmedUntil, confirmed) : known.confirmedUntil,
    outageUntil: peer.outageMilliseconds > 0 ? Math.max(known.outageUntil, outage) : known.outageUntil
  }
}

/** Reports an outage, if the node is in the data centre of the log and cannot read it although its network works: a peer there responds. */
export function reportOutage (known: Confirmation, evidence: OutageEvidence, now: number): Confirmation {
  const mayReport = evidence.isInLogDataCentre && evidence.isLogFailing && evidence.hasResponsivePeer && remainingMilliseconds(known.confirmedUntil, now) < outageReportBelowMilliseconds
  const hasReportedRecently = remainingMilliseconds(known.outageUntil, now) > outageReportValidityMilliseconds - outageReportIntervalMilliseconds
  if (!mayReport || hasReportedRecently) return known
  return { ...known, outageUntil: Math.max(known.outageUntil, now + outageReportValidityMilliseconds) }
}

/** Confirmation for peers at `now`, milliseconds of the monotonic clock. */
export function toPeerConfirmation (known: Confirmation, now: number): PeerConfirmation {
  return { confirmedMilliseconds: remainingMilliseconds(known.confirmedUntil, now), outageMilliseconds: remainingMilliseconds(known.outageUntil, now) }
}

/** Whether the node may take new work: its configuration is confirmed, the log is down for all, or isolated nodes serve. */
export function mayTakeWork (known: Confirmation, whenIsolated: Deployment['whenIsolated'], now: number): boolean {
  return whenIsolated === 'serve' || now < known.confirmedUntil || now < known.outageUntil
}

function remainingMilliseconds (deadline: number, now: number): number {
  return Math.max(0, Math.floor(deadline - now))
}
