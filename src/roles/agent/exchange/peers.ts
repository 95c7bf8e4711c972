/** What an instance knows of its peers for one manifest: holdings, when to ask again, and faults. */
import type { IncomingHttpHeaders } from 'node:http'
import { emptyBitmap, parseBitmap, type Bitmap } from '../../../core/weights/bitmap.js'
import type { PeerView } from '../../../core/weights/fetch-plan.js'
import { rankMembers } from '../../../utils/rendezvous.js'
import { heldHeaderNames } from './holdings.js'
import type { ExchangeMember } from './options.js'

/** Peers that an instance asks of its own accord. */
const neighbours = 8
/** Peers that it knows at most, with those that asked it. */
const knownPeers = 24

const faultsBeforeAvoidance = 2
/** Refusals from which on the wait no longer grows. */
const mostRefusals = 4
const unansweredBeforeSilent = 2
const longestWaitMilliseconds = 2000
const avoidMilliseconds = 5000
const pauseMilliseconds = 200

interface Peer {
  readonly member: ExchangeMember
  held: Bitmap
  inFlight: number
  retryAt: number
  faults: number
  /** Busy answers since the last chunk; each makes the wait longer. */
  refusals: number
  heardAt: number
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
    const chosen = rankMembers(`${this.digest}/${this.instance}`, [...others.keys()]).slice(0, neighbours)
    for (const instance of chosen) this.add(others.get(instance))
  }

  /** Notes a peer that asked here, when there is room. */
  add (member: ExchangeMember | undefined): void {
    if (member === undefined || member.instance === this.instance) return
    if (this.peers.has(member.instance) || this.peers.size >= knownPeers) return
    this.peers.set(member.instance, { member, held: emptyBitmap(this.total), inFlight: 0, retryAt: 0, faults: 0, refusals: 0, heardAt: 0, unanswered: 0 })
  }

  get views (): readonly PeerView[] {
    return [...this.peers].map(([instance, { held, inFlight, retryAt, faults, refusals }]) => ({ instance, held, inFlight, retryAt, isTrusted: faults === 0 && refusals < mostRefusals }))
  }

  /** Peers not heard since `before`, epoch milliseconds. */
  unheardSince (before: number): readonly ExchangeMember[] {
    return [...this.peers.values()].filter(peer => peer.heardAt < before && peer.retryAt <= Date.now()).map(peer => peer.member)
  }

  address (instance: string): string | undefined {
    return this.peers.get(instance)?.member.address
  }

  /** Whether every peer answered at least once, or failed. */
  get allHeard (): boolean {
    return [...this.peers.values()].every(peer => peer.heardAt > 0 || peer.faults > 0)
  }

  /** Takes a peer's set from the headers of a message; returns what it says was seen in the data centre. */
  noteHeaders (instance: string, headers: IncomingHttpHeaders): Bitmap | undefined {
    if (headers[heldHeaderNames.manifest] !== this.digest) return undefined
    const held = parseBitmap(textOf(headers[heldHeaderNames.held]), this.total)
    if (held !== undefined) this.noteHeld(instance, held)
    return parseBitmap(textOf(headers[heldHeaderNames.seen]), this.total)
  }

  noteHeld (instance: string, held: Bitmap | undefined): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.heardAt = Date.now()
    peer.unanswered = 0
    if (held !== undefined) peer.held = held
  }

  noteStart (instance: string): void {
    const peer = this.peers.get(instance)
    if (peer !== undefined) peer.inFlight += 1
  }

  noteEnd (instance: string): void {
    const peer = this.peers.get(instance)
    if (peer !== undefined) peer.inFlight -= 1
  }

  noteBusy (instance: string, backAt: number): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.refusals += 1
    const now = Date.now()
    peer.retryAt = Math.min(now + (backAt - now) * Math.min(peer.refusals, mostRefusals), now + longestWaitMilliseconds)
  }

  noteGood (instance: string): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.faults = 0
    peer.refusals = 0
  }

  /** Peers that the list names but that answer nothing; their duties pass to others at once. */
  get silent (): readonly string[] {
    return [...this.peers].filter(([, peer]) => peer.unanswered >= unansweredBeforeSilent).map(([instance]) => instance)
  }

  /** Blames a peer; after repeated faults it is left alone for a while. */
  noteFault (instance: string, answered: boolean): void {
    const peer = this.peers.get(instance)
    if (peer === undefined) return
    peer.faults += 1
    if (!answered) peer.unanswered += 1
    const pause = peer.faults >= faultsBeforeAvoidance ? avoidMilliseconds : pauseMilliseconds
    peer.retryAt = Date.now() + pause
  }
}

function textOf (value: string | readonly string[] | undefined): string {
  return typeof value === 'string' ? value : ''
}
