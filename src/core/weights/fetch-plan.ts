/** Which chunk an instance draws next, and from where. */
import { rankMembers } from '../../utils/rendezvous.js'
import { hasBit, type Bitmap } from './bitmap.js'

/** Chunks that a data centre draws from the origin at once. */
export const originWindow = 6

/** Draws of one chunk that may run at once: the first and one hedge. */
const flightsPerChunk = 2

/** Rank from which on the wait no longer grows. */
const highestRank = 6

/** A peer of the data centre, as last heard. */
export interface PeerView {
  readonly instance: string
  readonly held: Bitmap
  /** Draws from it that run now. */
  readonly inFlight: number
  /** Epoch milliseconds before which it is not asked. */
  readonly backAt: number
  /** False while it gives nothing of what it says that it holds; others then draw from outside in spite of its word. */
  readonly isTrusted: boolean
}

/** A source outside the data centre: the origin first, then the store, then peers of other data centres. */
export interface SourceView {
  readonly id: string
  readonly inFlight: number
  readonly slots: number
  /** Epoch milliseconds before which it is not asked. */
  readonly backAt: number
}

/** Running draws of one chunk. */
export interface Flight {
  readonly sources: readonly string[]
  /** Epoch milliseconds after which another source may be asked as well. */
  readonly hedgeAt: number
}

/** Who is to draw which chunk from outside, from one instance's point of view. */
export interface Duties {
  /** Chunk positions in the order in which the data centre draws them. */
  readonly order: readonly number[]
  /** This instance's rank for each position; 0 draws at once, others when their deadline comes. */
  readonly ranks: readonly number[]
  /** Instance of rank 0 for each position. */
  readonly first: readonly string[]
}

/** All that a choice looks at. */
export interface PlanView {
  readonly now: number
  readonly total: number
  readonly held: Bitmap
  /** Positions that some instance of the data centre was heard to hold. */
  readonly seen: Bitmap
  readonly duties: Duties
  /** Epoch milliseconds since when each position waits for a draw from outside. */
  readonly waitingSince: ReadonlyMap<number, number>
  readonly flights: ReadonlyMap<number, Flight>
  readonly peers: readonly PeerView[]
  readonly peerSlots: number
  readonly sources: readonly SourceView[]
  /** Time that one rank has before the next one draws, milliseconds. */
  readonly rankMilliseconds: number
  /** Draws that one peer gets at once. */
  readonly drawsPerPeer: number
  /** Position at which ties are broken, so that instances spread over equally rare chunks. */
  readonly turn: number
}

/** One draw. */
export interface Draw {
  readonly position: number
  readonly source: string
  readonly kind: 'outside' | 'peer'
}

/** Duties of an instance among the members of its data centre. */
export function dutiesOf (chunks: readonly string[], instance: string, members: readonly string[]): Duties {
  const everyone = members.includes(instance) ? members : [...members, instance]
  const ranked = chunks.map(chunk => rankMembers(chunk, everyone))
  return {
    order: chunks.map((_, position) => position),
    ranks: ranked.map(order => order.indexOf(instance)),
    first: ranked.map(order => order[0] ?? instance)
  }
}

/** Positions that the data centre draws from outside now: the first ones that nobody there was heard to hold. */
export function windowOf (duties: Duties, seen: Bitmap): readonly number[] {
  return duties.order.filter(position => !hasBit(seen, position)).slice(0, originWindow)
}

/** Whether a trusted peer holds a position. */
export function isOffered (peers: readonly PeerView[], position: number): boolean {
  return peers.some(peer => peer.isTrusted && hasBit(peer.held, position))
}

/** The next draw, or undefined when nothing can start now. */
export function nextDraw (view: PlanView): Draw | undefined {
  return nextOutside(view) ?? nextFromPeer(view)
}

function nextOutside (view: PlanView): Draw | undefined {
  const source = view.sources.find(candidate => candidate.backAt <= view.now)
  if (source === undefined || source.inFlight >= source.slots) return undefined
  const position = view.duties.order.find(candidate => isDue(view, candidate) && isOpen(view, candidate, source.id) && !isOffered(view.peers, candidate))
  return position === undefined ? undefined : { position, source: source.id, kind: 'outside' }
}

/** Whether this instance's rank is due to draw a position from outside. */
function isDue (view: PlanView, position: number): boolean {
  const since = view.waitingSince.get(position)
  if (since === undefined) return false
  return view.now >= since + rankDelay(view.duties.ranks[position] ?? 0, view.rankMilliseconds)
}

/** Milliseconds that a rank waits; it doubles with each rank, so that a slow source is not asked by everyone. */
export function rankDelay (rank: number, rankMilliseconds: number): number {
  return (2 ** Math.min(rank, highestRank) - 1) * rankMilliseconds
}

function isOpen (view: PlanView, position: number, source: string): boolean {
  if (hasBit(view.held, position)) return false
  const flight = view.flights.get(position)
  if (flight === undefined || flight.sources.length === 0) return true
  return flight.sources.length < flightsPerChunk && view.now >= flight.hedgeAt && !flight.sources.includes(source)
}

function nextFromPeer (view: PlanView): Draw | undefined {
  if (view.peerSlots <= 0) return undefined
  const ready = view.peers.filter(peer => peer.backAt <= view.now && peer.inFlight < view.drawsPerPeer)
  let best: { readonly position: number, readonly cost: number } | undefined
  for (let step = 0; step < view.total; step += 1) {
    const position = (view.turn + step) % view.total
    if (hasBit(view.held, position)) continue
    if (!ready.some(peer => hasBit(peer.held, position) && isOpen(view, position, peer.instance))) continue
    const cost = view.peers.filter(peer => hasBit(peer.held, position)).length
    if (best === undefined || cost < best.cost) best = { position, cost }
  }
  if (best === undefined) return undefined
  const { position } = best
  const holders = ready.filter(peer => hasBit(peer.held, position) && isOpen(view, position, peer.instance))
  const [source] = holders.sort((left, right) => left.inFlight - right.inFlight)
  return source === undefined ? undefined : { position, source: source.instance, kind: 'peer' }
}
