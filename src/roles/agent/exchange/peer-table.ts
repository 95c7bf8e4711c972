/** What an instance knows of its peers for one manifest: holdings, when to ask again, and faults. */
import type { IncomingHttpHeaders } from 'node:http'
import { emptyBitmap, parseBitmap, type Bitmap } from '../../../core/weights/bitmap.js'
import type { PeerView } from '../../../core/weights/fetch-plan.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import { heldHeaderNames } from './holdings.js'
import type { ExchangeMember } from './options.js'

/** Peers that an instance asks of its own accord. */
const polledPeers = 8
/** Peers that it knows at most, with those that asked it. */
const maximumPeers = 24

const faultsBeforeAvoidance = 2
/** Refusals from which on the wait no longer grows. */
const maximumRefusals = 4
const unansweredBeforeUnresponsive = 2
const maximumRetryMilliseconds = 2000
const avoidanceMilliseconds = 5000
const faultPauseMilliseconds = 200

interface Peer {
  readonly member: ExchangeMember
  held: Bitmap
  inFlight: number
  retryAt: number
  faults: number
  /** Busy answers since the last chunk; each makes the wait longer. */
  refusals: number
  reportedAt: number
  /** Messages in a row that got no answer. */
  unanswered: number
}

/** Table of peers. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>()

  constructor (private readonly digest: string, private readonly instance: string, private readonly total: number) {}

  /** Takes the live members of the data centre: asks a bounded number, forgets those that left. */
  setMembers (members: readonly ExchangeMember[]): void {
    const others = new Map(members.filter(member => member.instance !== this.instance).map(member => [member.instance, member]))
    for (const [instance, peer] of this.peers) {
      if (others.get(instance)?.address !== peer.member.address) this.peers.delete(instance)
    }
    const chosen = rankMembers(`${this.digest}/${this.instance}`, [...others.keys()]).slice(0, polledPeers)
    for (const instance of chosen) this.add(others.get(instance))
  }

  /** Notes a peer that asked here, when there is room. */
  add (member: ExchangeMember | undefined): void {
    if (member === undefined || member.instance === this.instance) return
    if (this.peers.has(member.instance) || this.peers.size >= maximumPeers) return
    this.peers.set(member.instance, { member, held: emptyBitmap(this.total), inFlight: 0, retryAt: 0, faults: 0, refusals: 0, reportedAt: 0, unanswered: 0 })
  }

  get views (): readonly PeerView[] {
    return [...this.peers].map(([instance, { held, inFlight, retryAt, faults, refusals }]) => ({ instance, held, inFlight, retryAt, isTrusted: faults === 0 && refusals < maximumRefusals }))
  }

  /** Peers not heard since `before`, epoch milliseconds. */
  notReportedSince (before: number): readonly ExchangeMember[] {
    return [...this.peers.values()].filter(peer => peer.reportedAt < before && peer.retryAt <= Date.now()).map(peer => peer.member)
  }

  address (instance: string): string | undefined {
    return this.peers.get(instance)?.member.address
  }

  /** Whether every peer answered at least once, or failed. */
  get haveAllResponded (): boolean {
    return [...this.peers.values()].every(peer => peer.reportedAt > 0 || peer.faults > 0)
  }

  /** Takes a peer's set from the headers of a message; returns what it says was seen in the data centre. */
  recordHeaders (instance: string, headers: IncomingHttpHeaders): Bitmap | undefined {
    if (headers[heldHeaderNames.manifest] !== this.digest) return undefined
    const held = parseBitmap(singleValue(headers[heldHeaderNames.held]), this.total)
    if (held !== undefined) this.recordHeld(instance, held)
    return parseBitmap(singleValue(headers[heldHeaderNames.seen]), this.total)
  }

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

  recordBusy (instance: string, backAt: number): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.refusals += 1
    const now = Date.now()
    peer.retryAt = Math.min(now + (backAt - now) * Math.min(peer.refusals, maximumRefusals), now + maximumRetryMilliseconds)
  }

  recordSuccess (instance: string): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.faults = 0
    peer.refusals = 0
  }

  /** Peers that the list names but that answer nothing; their duties pass to others at once. */
  get unresponsive (): readonly string[] {
    return [...this.peers].filter(([, peer]) => peer.unanswered >= unansweredBeforeUnresponsive).map(([instance]) => instance)
  }

  /** Blames a peer; after repeated faults it is left alone for a while. */
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
