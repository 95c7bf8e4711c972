/** Other agents of the same service, as entries and they themselves tell. */
import { rankMembers } from '../../utils/rendezvous.js'
import { formatBitmap, emptyBitmap, parseBitmap, unionBitmap, type Bitmap } from '../../core/weights/bitmap.js'
import type { EnginePeer } from '../../core/weights/swap-schedule.js'
import type { Holdings } from '../../types/node-messages.js'
import { steadyNow } from '../../utils/clock.js'

/** Agents that one agent exchanges with at most, so that its messages do not grow with the service. */
const maximumSameDataCentrePeers = 16
const maximumOtherDataCentrePeers = 8
/** Silence of entries about an agent after which it is forgotten, milliseconds. */
const peerTimeoutMilliseconds = 15_000
/** Time after which an agent that tells of itself is noted as there again, milliseconds. */
const refreshMilliseconds = 1000
/** Age at which an agent's word about its engine and its chunks no longer counts, milliseconds: three announcements. */
const holdingsTimeoutMilliseconds = 3000

/** An agent of the service. */
export interface Peer {
  readonly ip: string
  readonly dataCentre: string
  readonly isSameDataCentre: boolean
}

/** An agent with what it holds of a version, and what it has heard that its neighbours hold. */
export interface Holder extends Peer {
  readonly held: Bitmap
  readonly heldInDataCentre: Bitmap
}

interface KnownPeer extends Peer { readonly seenAt: number }

interface ReceivedHoldings { readonly holdings: Holdings, readonly at: number }

/** The table. */
export class PeerTable {
  private readonly known = new Map<string, KnownPeer>()
  private readonly received = new Map<string, ReceivedHoldings>()
  /** What agents held of the version before the one that they tell of now. */
  private readonly earlierHoldings = new Map<string, Holdings>()
  private selected: readonly Peer[] = []

  constructor (private readonly ip: string, private readonly dataCentre: string) {}

  /** Takes an entry's list of agents: data centre and IP of each. */
  addPeers (agents: readonly (readonly [string, string])[]): void {
    const now = steadyNow()
    for (const [dataCentre, ip] of agents) {
      if (ip !== this.ip) this.known.set(ip, { ip, dataCentre, isSameDataCentre: dataCentre === this.dataCentre, seenAt: now })
    }
    for (const [ip, { seenAt: seenAt }] of this.known) if (now - seenAt > peerTimeoutMilliseconds) this.known.delete(ip)
    this.selected = this.selectPeers()
  }

  /** Takes what another agent says of itself; true when it was not heard for a while. */
  receiveHoldings (holdings: Holdings, ip: string): boolean {
    const previous = this.received.get(ip)
    const now = steadyNow()
    this.received.set(ip, { holdings, at: now })
    if (previous !== undefined && previous.holdings.version < holdings.version) this.earlierHoldings.set(ip, previous.holdings)
    if (now - (this.known.get(ip)?.seenAt ?? 0) > refreshMilliseconds) this.addPeers([[holdings.dataCentre, ip]])
    return previous === undefined || now - previous.at > peerTimeoutMilliseconds
  }

  /** Agents that this one tells of its chunks. */
  announcementTargets (): readonly Peer[] {
    return this.selected
  }

  /** Every agent of the service: each must see the same set, since it settles who draws what first. */
  all (): readonly Peer[] {
    return [...this.known.values()]
  }

  isSameDataCentre (ip: string): boolean {
    return this.known.get(ip)?.isSameDataCentre ?? false
  }

  /** Whether an agent was heard to have a version's manifest. */
  hasManifest (ip: string, model: string, version: number): boolean {
    return this.holdingsOf(ip, model, version) !== undefined
  }

  /** Agents that were heard lately, whether this one tells them or not, with what they hold of a version of `total` chunks. */
  holders (model: string, version: number, total: number): readonly Holder[] {
    return this.all().filter(({ ip }) => this.isRecent(ip)).flatMap(peer => {
      const holdings = this.holdingsOf(peer.ip, model, version)
      if (holdings === undefined) return []
      return [{ ...peer, held: parseBitmap(holdings.held, total) ?? emptyBitmap(total), heldInDataCentre: parseBitmap(holdings.nearby, total) ?? emptyBitmap(total) }]
    })
  }

  /** Text of the bitmap of chunks that agents nearby hold, `own` among them. */
  heldInDataCentreText (model: string, version: number, total: number, local: Bitmap): string {
    const holders = this.holders(model, version, total).filter(({ isSameDataCentre: isSameDataCentre }) => isSameDataCentre)
    return formatBitmap(holders.reduce((all, { held }) => unionBitmap(all, held), local))
  }

  /** Agents of each other data centre. */
  otherDataCentres (): readonly (readonly string[])[] {
    const groups = new Map<string, string[]>()
    for (const { ip, dataCentre, isSameDataCentre: isSameDataCentre } of this.known.values()) {
      if (!isSameDataCentre) groups.set(dataCentre, [...groups.get(dataCentre) ?? [], ip])
    }
    return [...groups.values()]
  }

  /** Engines of the agents, for the order of changes. */
  engines (): readonly EnginePeer[] {
    return this.all().flatMap(({ ip }) => {
      const latest = this.received.get(ip)
      if (latest === undefined || !this.isRecent(ip)) return []
      return [{ ip, served: latest.holdings.served, isSwapping: latest.holdings.isChanging }]
    })
  }

  /** Whether an agent told of itself lately. */
  private isRecent (ip: string): boolean {
    return steadyNow() - (this.received.get(ip)?.at ?? -Infinity) <= holdingsTimeoutMilliseconds
  }

  private holdingsOf (ip: string, model: string, version: number): Holdings | undefined {
    return [this.received.get(ip)?.holdings, this.earlierHoldings.get(ip)].find(holdings => holdings?.model === model && holdings.version === version)
  }

  private selectPeers (): readonly Peer[] {
    const peers = [...this.known.values()].sort((left, right) => left.ip < right.ip ? -1 : 1)
    const select = (isSameDataCentre: boolean, maximum: number): readonly Peer[] => {
      const candidates = peers.filter(peer => peer.isSameDataCentre === isSameDataCentre)
      if (candidates.length <= maximum) return candidates
      const ranked = new Set(rankMembers(this.ip, candidates.map(({ ip }) => ip)).slice(0, maximum))
      return candidates.filter(({ ip }) => ranked.has(ip))
    }
    return [...select(true, maximumSameDataCentrePeers), ...select(false, maximumOtherDataCentrePeers)]
  }
}
