/** Other agents of the same service, as reported by entries and by the agents themselves. */
import { rankMembers } from '../../utils/rendezvous.js'
import { decodeBitmap, emptyBitmap, fitsPositions, unionOf, type Bitmap } from '../../core/weights/bitmap.js'
import type { EnginePeer } from '../../core/weights/swap-schedule.js'
import type { Holdings } from '../../types/node-messages.js'
import { monotonicNow } from '../../utils/clock.js'

/** Maximum number of agents that one agent announces to, so that its messages do not grow with the service. */
const maximumSameDataCentrePeers = 16
const maximumOtherDataCentrePeers = 8
/** Time without a report about an agent after which it is removed, milliseconds. */
const peerTimeoutMilliseconds = 15_000
/** Minimum time between two updates of `seenAt` by an agent's own announcements, milliseconds. */
const refreshMilliseconds = 1000
/** Age from which an announcement is ignored, milliseconds: three idle announcement intervals. */
const holdingsTimeoutMilliseconds = 3000

/** An agent of the service. */
export interface Peer {
  readonly ip: string
  readonly dataCentre: string
  /** Whether it runs in the data centre of this agent. */
  readonly isSameDataCentre: boolean
}

/** An agent with the chunks of a version that it holds, and those that it knows to be held in its data centre. */
export interface Holder extends Peer {
  readonly held: Bitmap
  readonly heldInDataCentre: Bitmap
}

interface KnownPeer extends Peer { readonly seenAt: number }

/** An announcement with its decoded bitmaps, which every choice of a fetch reads. */
interface DecodedHoldings {
  readonly holdings: Holdings
  readonly held: Bitmap
  readonly heldInDataCentre: Bitmap
}

interface ReceivedHoldings extends DecodedHoldings { readonly at: number }

/** Table of the known agents and their latest announcements; points in time are milliseconds of the monotonic clock. */
export class PeerTable {
  private readonly known = new Map<string, KnownPeer>()
  private readonly received = new Map<string, ReceivedHoldings>()
  /** Last announcement of each agent for the version before its current one, whose chunks it may still serve. */
  private readonly earlierHoldings = new Map<string, DecodedHoldings>()
  private selected: readonly Peer[] = []
  private membershipNumber = 0

  constructor (private readonly ip: string, private readonly dataCentre: string) {}

  /** Adds or refreshes agents, each given as data centre and IP, and removes those that were not reported for long. */
  addPeers (agents: readonly (readonly [string, string])[]): void {
    const now = monotonicNow()
    let isChanged = false
    for (const [dataCentre, ip] of agents) {
      if (ip === this.ip) continue
      if (this.known.get(ip)?.dataCentre !== dataCentre) isChanged = true
      this.known.set(ip, { ip, dataCentre, isSameDataCentre: dataCentre === this.dataCentre, seenAt: now })
    }
    for (const [ip, { seenAt }] of this.known) {
      if (now - seenAt > peerTimeoutMilliseconds) isChanged = this.known.delete(ip)
    }
    if (!isChanged) return
    this.membershipNumber += 1
    this.selected = this.selectPeers()
  }

  /** Number that changes whenever an agent is added, removed or moved; what is derived from `all` stays valid until then. */
  get membership (): number {
    return this.membershipNumber
  }

  /** Stores another agent's announcement; true when it is the first one, or the first after a long pause. */
  receiveHoldings (holdings: Holdings, ip: string): boolean {
    const previous = this.received.get(ip)
    const now = monotonicNow()
    this.received.set(ip, { ...decode(holdings), at: now })
    if (previous !== undefined && previous.holdings.version < holdings.version) this.earlierHoldings.set(ip, previous)
    if (now - (this.known.get(ip)?.seenAt ?? 0) > refreshMilliseconds) this.addPeers([[holdings.dataCentre, ip]])
    return previous === undefined || now - previous.at > peerTimeoutMilliseconds
  }

  /** Agents to which this one announces its chunks. */
  announcementTargets (): readonly Peer[] {
    return this.selected
  }

  /** Every other agent of the service. All agents must see the same set, since it determines the primary fetchers. */
  all (): readonly Peer[] {
    return [...this.known.values()]
  }

  isSameDataCentre (ip: string): boolean {
    return this.known.get(ip)?.isSameDataCentre ?? false
  }

  /** Whether an agent has announced a version, and so has its manifest. */
  hasManifest (ip: string, model: string, version: number): boolean {
    return this.holdingsOf(ip, model, version) !== undefined
  }

  /** All agents with a recent announcement that announced a version of `total` chunks, with the chunks that they hold. */
  holders (model: string, version: number, total: number): readonly Holder[] {
    const now = monotonicNow()
    const holders: Holder[] = []
    for (const { ip, dataCentre, isSameDataCentre } of this.known.values()) {
      const latest = this.received.get(ip)
      const decoded = latest !== undefined && isRecent(latest, now) ? this.holdingsOf(ip, model, version) : undefined
      if (decoded !== undefined) holders.push({ ip, dataCentre, isSameDataCentre, held: sized(decoded.held, total), heldInDataCentre: sized(decoded.heldInDataCentre, total) })
    }
    return holders
  }

  /** Chunks that agents of this data centre hold, including `local`, the chunks of this one. */
  heldInDataCentre (model: string, version: number, total: number, local: Bitmap): Bitmap {
    const holders = this.holders(model, version, total).filter(({ isSameDataCentre }) => isSameDataCentre)
    return unionOf(total, [local, ...holders.map(({ held }) => held)])
  }

  /** Chunks of a version that an agent announced last; undefined if it never announced that version. */
  heldBy (ip: string, model: string, version: number, total: number): Bitmap | undefined {
    const announced = this.holdingsOf(ip, model, version)
    return announced === undefined ? undefined : sized(announced.held, total)
  }

  /** IPs of the agents of each other data centre. */
  otherDataCentres (): readonly (readonly string[])[] {
    const groups = new Map<string, string[]>()
    for (const { ip, dataCentre, isSameDataCentre } of this.known.values()) {
      if (!isSameDataCentre) groups.set(dataCentre, [...groups.get(dataCentre) ?? [], ip])
    }
    return [...groups.values()]
  }

  /** Engines of agents with a recent announcement, for the swap schedule. */
  engines (): readonly EnginePeer[] {
    const now = monotonicNow()
    return this.all().flatMap(({ ip }) => {
      const latest = this.received.get(ip)
      if (latest === undefined || !isRecent(latest, now)) return []
      return [{ ip, served: latest.holdings.served, isSwapping: latest.holdings.isSwapping }]
    })
  }

  /** The announcement of a version by an agent, the latest or the one before its current version. */
  private holdingsOf (ip: string, model: string, version: number): DecodedHoldings | undefined {
    const latest = this.received.get(ip)
    if (latest !== undefined && isOf(latest, model, version)) return latest
    const earlier = this.earlierHoldings.get(ip)
    return earlier !== undefined && isOf(earlier, model, version) ? earlier : undefined
  }

  /** Announcement targets in each data centre group, by rendezvous hashing where there are too many. */
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

function decode (holdings: Holdings): DecodedHoldings {
  return { holdings, held: decodeBitmap(holdings.held), heldInDataCentre: decodeBitmap(holdings.heldInDataCentre) }
}

/** A received bitmap; empty unless its length fits `total` positions. */
function sized (bitmap: Bitmap, total: number): Bitmap {
  return fitsPositions(bitmap, total) ? bitmap : emptyBitmap(total)
}

function isOf ({ holdings }: DecodedHoldings, model: string, version: number): boolean {
  return holdings.version === version && holdings.model === model
}

/** Whether an announcement is recent enough to count. */
function isRecent (received: ReceivedHoldings, now: number): boolean {
  return now - received.at <= holdingsTimeoutMilliseconds
}
