/** Other agents of the same service, as entries and they themselves tell. */
import { rankMembers } from '../../utils/rendezvous.js'
import { formatBitmap, emptyBitmap, parseBitmap, unionBitmap, type Bitmap } from '../../core/weights/bitmap.js'
import type { EnginePeer } from '../../core/weights/swap-schedule.js'
import type { Holdings } from '../../types/node-messages.js'
import { steadyNow } from '../../utils/clock.js'

/** Agents that one agent exchanges with at most, so that its messages do not grow with the service. */
const mostNear = 16
const mostFar = 8
/** Silence of entries about an agent after which it is forgotten, milliseconds. */
const forgetMilliseconds = 15_000
/** Time after which an agent that tells of itself is noted as there again, milliseconds. */
const refreshMilliseconds = 1000
/** Age at which an agent's word about its engine and its chunks no longer counts, milliseconds: three announcements. */
const wordMilliseconds = 3000

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

interface Told extends Peer { readonly toldAt: number }

interface Heard { readonly holdings: Holdings, readonly at: number }

/** The table. */
export class PeerTable {
  private readonly told = new Map<string, Told>()
  private readonly heard = new Map<string, Heard>()
  /** What agents held of the version before the one that they tell of now. */
  private readonly earlier = new Map<string, Holdings>()
  private chosen: readonly Peer[] = []

  constructor (private readonly ip: string, private readonly dataCentre: string) {}

  /** Takes an entry's list of agents: data centre and IP of each. */
  addPeers (agents: readonly (readonly [string, string])[]): void {
    const now = steadyNow()
    for (const [dataCentre, ip] of agents) {
      if (ip !== this.ip) this.told.set(ip, { ip, dataCentre, isSameDataCentre: dataCentre === this.dataCentre, toldAt: now })
    }
    for (const [ip, { toldAt }] of this.told) if (now - toldAt > forgetMilliseconds) this.told.delete(ip)
    this.chosen = this.choose()
  }

  /** Takes what another agent says of itself; true when it was not heard for a while. */
  receiveHoldings (holdings: Holdings, ip: string): boolean {
    const known = this.heard.get(ip)
    const now = steadyNow()
    this.heard.set(ip, { holdings, at: now })
    if (known !== undefined && known.holdings.version < holdings.version) this.earlier.set(ip, known.holdings)
    if (now - (this.told.get(ip)?.toldAt ?? 0) > refreshMilliseconds) this.addPeers([[holdings.dataCentre, ip]])
    return known === undefined || now - known.at > forgetMilliseconds
  }

  /** Agents that this one tells of its chunks. */
  announcementTargets (): readonly Peer[] {
    return this.chosen
  }

  /** Every agent of the service: each must see the same set, since it settles who draws what first. */
  all (): readonly Peer[] {
    return [...this.told.values()]
  }

  isSameDataCentre (ip: string): boolean {
    return this.told.get(ip)?.isSameDataCentre ?? false
  }

  /** Whether an agent was heard to have a version's manifest. */
  hasManifest (ip: string, model: string, version: number): boolean {
    return this.holdingsOf(ip, model, version) !== undefined
  }

  /** Agents that were heard lately, whether this one tells them or not, with what they hold of a version of `total` chunks. */
  holders (model: string, version: number, total: number): readonly Holder[] {
    return this.all().filter(({ ip }) => this.isHeard(ip)).flatMap(peer => {
      const holdings = this.holdingsOf(peer.ip, model, version)
      if (holdings === undefined) return []
      return [{ ...peer, held: parseBitmap(holdings.held, total) ?? emptyBitmap(total), heldInDataCentre: parseBitmap(holdings.nearby, total) ?? emptyBitmap(total) }]
    })
  }

  /** Text of the bitmap of chunks that agents nearby hold, `own` among them. */
  heldInDataCentreText (model: string, version: number, total: number, own: Bitmap): string {
    const near = this.holders(model, version, total).filter(({ isSameDataCentre: isNear }) => isNear)
    return formatBitmap(near.reduce((all, { held }) => unionBitmap(all, held), own))
  }

  /** Agents of each other data centre. */
  otherDataCentres (): readonly (readonly string[])[] {
    const groups = new Map<string, string[]>()
    for (const { ip, dataCentre, isSameDataCentre: isNear } of this.told.values()) {
      if (!isNear) groups.set(dataCentre, [...groups.get(dataCentre) ?? [], ip])
    }
    return [...groups.values()]
  }

  /** Engines of the agents, for the order of changes. */
  engines (): readonly EnginePeer[] {
    return this.all().flatMap(({ ip }) => {
      const heard = this.heard.get(ip)
      if (heard === undefined || !this.isHeard(ip)) return []
      return [{ ip, served: heard.holdings.served, isSwapping: heard.holdings.isChanging }]
    })
  }

  /** Whether an agent told of itself lately. */
  private isHeard (ip: string): boolean {
    return steadyNow() - (this.heard.get(ip)?.at ?? -Infinity) <= wordMilliseconds
  }

  private holdingsOf (ip: string, model: string, version: number): Holdings | undefined {
    return [this.heard.get(ip)?.holdings, this.earlier.get(ip)].find(holdings => holdings?.model === model && holdings.version === version)
  }

  private choose (): readonly Peer[] {
    const peers = [...this.told.values()].sort((left, right) => left.ip < right.ip ? -1 : 1)
    const select = (isNear: boolean, most: number): readonly Peer[] => {
      const candidates = peers.filter(peer => peer.isSameDataCentre === isNear)
      if (candidates.length <= most) return candidates
      const ranked = new Set(rankMembers(this.ip, candidates.map(({ ip }) => ip)).slice(0, most))
      return candidates.filter(({ ip }) => ranked.has(ip))
    }
    return [...select(true, mostNear), ...select(false, mostFar)]
  }
}
