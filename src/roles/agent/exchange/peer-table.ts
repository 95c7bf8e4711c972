/** Peers of an instance for one manifest: their holdings, retry times and faults. */
import type { IncomingHttpHeaders } from 'node:http'
import { emptyBitmap, parseBitmap, type Bitmap } from '../../../core/weights/bitmap.js'
import type { PeerView } from '../../../core/weights/fetch-plan.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import { heldHeaderNames } from './holdings.js'
import type { ExchangeMember } from './options.js'

/** Peers that an instance polls; bounded, so that its traffic does not grow with the data centre. */
const polledPeers = 8
/** Maximum of known peers, including those that sent requests to this instance. */
const maximumPeers = 24

/** Consecutive faults after which a peer is avoided for `avoidanceMilliseconds`. */
const faultsBeforeAvoidance = 2
/** Consecutive busy answers from which on the retry time no longer grows, and the peer is no longer trusted to deliver. */
const maximumRefusals = 4
/** Consecutive unanswered requests after which a peer counts as unresponsive. */
const unansweredBeforeUnresponsive = 2
/** Upper bound of the retry time of a busy peer. */
const maximumRetryMilliseconds = 2000
const avoidanceMilliseconds = 5000
/** Pause after a single fault. */
const faultPauseMilliseconds = 200

interface Peer {
  readonly member: ExchangeMember
  held: Bitmap
  inFlight: number
  /** Epoch milliseconds before which nothing is requested from it. */
  retryAt: number
  /** Consecutive faults. */
  faults: number
  /** Busy answers since the last chunk; each one extends the retry time. */
  refusals: number
  /** Epoch milliseconds of its last report of holdings; 0 before the first. */
  reportedAt: number
  /** Consecutive requests without an answer. */
  unanswered: number
}

/** Table of the peers for one manifest; its `record...` methods change nothing for unknown instances. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>()

  constructor (private readonly digest: string, private readonly instance: string, private readonly total: number) {}

  /** Updates the live members of the data centre: adds a bounded number, removes those that have left or moved. */
  setMembers (members: readonly ExchangeMember[]): void {
    const others = new Map(members.filter(member => member.instance !== this.instance).map(member => [member.instance, member]))
    for (const [instance, peer] of this.peers) {
      if (others.get(instance)?.address !== peer.member.address) this.peers.delete(instance)
    }
    const chosen = rankMembers(`${this.digest}/${this.instance}`, [...others.keys()]).slice(0, polledPeers)
    for (const instance of chosen) this.add(others.get(instance))
  }

  /** Adds a peer unless the table is full. */
  add (member: ExchangeMember | undefined): void {
    if (member === undefined || member.instance === this.instance) return
    if (this.peers.has(member.instance) || this.peers.size >= maximumPeers) return
    this.peers.set(member.instance, { member, held: emptyBitmap(this.total), inFlight: 0, retryAt: 0, faults: 0, refusals: 0, reportedAt: 0, unanswered: 0 })
  }

  get views (): readonly PeerView[] {
    return [...this.peers].map(([instance, { held, inFlight, retryAt, faults, refusals }]) => ({ instance, held, inFlight, retryAt, isTrusted: faults === 0 && refusals < maximumRefusals }))
  }

  /** Peers without a report since `before` (epoch milliseconds) that may be requested from now. */
  notReportedSince (before: number): readonly ExchangeMember[] {
    return [...this.peers.values()].filter(peer => peer.reportedAt < before && peer.retryAt <= Date.now()).map(peer => peer.member)
  }

  address (instance: string): string | undefined {
    return this.peers.get(instance)?.member.address
  }

  /** Whether every peer has reported or failed at least once. */
  get haveAllResponded (): boolean {
    return [...this.peers.values()].every(peer => peer.reportedAt > 0 || peer.faults > 0)
  }

  /** Records the holdings in the headers of a message; returns the positions that the peer has seen in its data centre, undefined if absent or for another manifest. */
  recordHeaders (instance: string, headers: IncomingHttpHeaders): Bitmap | undefined {
    if (headers[heldHeaderNames.manifest] !== this.digest) return undefined
    const held = parseBitmap(singleValue(headers[heldHeaderNames.held]), this.total)
    if (held !== undefined) this.recordHeld(instance, held)
    return parseBitmap(singleValue(headers[heldHeaderNames.seen]), this.total)
  }

  /** Records a report; undefined if the holdings are unchanged. */
  recordHeld (instance: string, held: Bitmap | undefined): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.reportedAt = Date.now()
    peer.unanswered = 0
    if (held !== undefined) peer.held = held
  }

  recordStart (instance: string): void {
    const peer = this.peers.get(instance)
    if (peer !== undefined) peer.inFlight += 1
  }

  recordEnd (instance: string): void {
    const peer = this.peers.get(instance)
    if (peer !== undefined) peer.inFlight -= 1
  }

  /** Extends the retry time with each consecutive busy answer. */
  recordBusy (instance: string, retryAt: number): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.refusals += 1
    const now = Date.now()
    peer.retryAt = Math.min(now + (retryAt - now) * Math.min(peer.refusals, maximumRefusals), now + maximumRetryMilliseconds)
  }

  recordSuccess (instance: string): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.faults = 0
    peer.refusals = 0
  }

  /** Peers that are listed but do not answer; their assigned chunks pass to others without delay. */
  get unresponsive (): readonly string[] {
    return [...this.peers].filter(([, peer]) => peer.unanswered >= unansweredBeforeUnresponsive).map(([instance]) => instance)
  }

  /** Records a failed request; a peer with repeated faults is avoided for a while. `answered` is false if no answer arrived. */
  recordFault (instance: string, answered: boolean): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.faults += 1
    if (!answered) peer.unanswered += 1
    const pause = peer.faults >= faultsBeforeAvoidance ? avoidanceMilliseconds : faultPauseMilliseconds
    peer.retryAt = Date.now() + pause
  }
}

function singleValue (value: string | readonly string[] | undefined): string {
  return typeof value === 'string' ? value : ''
}
