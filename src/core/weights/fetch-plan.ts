/** Which chunk an instance draws next, and from where. */
import { rankMembers } from '../../utils/rendezvous.js'
import { hasBit, type Bitmap } from './bitmap.js'

/** Chunks that a data centre draws from the origin at once. */
export const originWindowChunks = 6

/** Draws of one chunk that may run at once: the first and one hedge. */
const fetchesPerChunk = 2

/** Rank from which on the wait no longer grows. */
const maximumDelayedRank = 6

/** A peer of the data centre, as last heard. */
export interface PeerView {
  readonly instance: string
  readonly held: Bitmap
  /** Draws from it that run now. */
  readonly inFlight: number
  /** Epoch milliseconds before which it is not asked. */
  readonly retryAt: number
  /** False while it gives nothing of what it says that it holds; others then draw from outside in spite of its word. */
  readonly isTrusted: boolean
}

/** A source outside the data centre: the origin first, then the store, then peers of other data centres. */
export interface SourceView {
  readonly id: string
  readonly inFlight: number
  readonly slots: number
  /** Epoch milliseconds before which it is not asked. */
  readonly retryAt: number
}

/** Running draws of one chunk. */
export interface FetchInProgress {
  readonly sources: readonly string[]
  /** Epoch milliseconds after which another source may be asked as well. */
  readonly hedgeAt: number
}

/** Who is to draw which chunk from outside, from one instance's point of view. */
export interface ChunkAssignments {
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
  readonly assignments: ChunkAssignments
  /** Epoch milliseconds since when each position waits for a draw from outside. */
  readonly waitingSince: ReadonlyMap<number, number>
  readonly fetches: ReadonlyMap<number, FetchInProgress>
  readonly peers: readonly PeerView[]
  readonly freePeerSlots: number
  readonly sources: readonly SourceView[]
  /** Time that one rank has before the next one draws, milliseconds. */
  readonly rankMilliseconds: number
  /** Draws that one peer gets at once. */
  readonly fetchesPerPeer: number
  /** Position at which ties are broken, so that instances spread over equally rare chunks. */
  readonly startPosition: number
}

/** One draw. */
export interface PlannedFetch {
  readonly position: number
  readonly source: string
  readonly kind: 'outside' | 'peer'
}

/** Duties of an instance among the members of its data centre. */
export function assignChunks (chunks: readonly string[], instance: string, members: readonly string[]): ChunkAssignments {
  const allMembers = members.includes(instance) ? members : [...members, instance]
  const ranked = chunks.map(chunk => rankMembers(chunk, allMembers))
  return {
    order: chunks.map((_, position) => position),
    ranks: ranked.map(order => order.indexOf(instance)),
    first: ranked.map(order => order[0] ?? instance)
  }
}

/** Positions that the data centre draws from outside now: the first ones that nobody there was heard to hold. */
export function outsideWindow (duties: ChunkAssignments, seen: Bitmap): readonly number[] {
  return duties.order.filter(position => !hasBit(seen, position)).slice(0, originWindowChunks)
}

/** Whether a trusted peer holds a position. */
export function isOffered (peers: readonly PeerView[], position: number): boolean {
  return peers.some(peer => peer.isTrusted && hasBit(peer.held, position))
}

/** The next draw, or undefined when nothing can start now. */
export function nextFetch (view: PlanView): PlannedFetch | undefined {
  return nextOutsideFetch(view) ?? nextPeerFetch(view)
}

function nextOutsideFetch (view: PlanView): PlannedFetch | undefined {
  const source = view.sources.find(candidate => candidate.retryAt <= view.now)
  if (source === undefined || source.inFlight >= source.slots) return undefined
  const position = view.assignments.order.find(candidate => isDue(view, candidate) && isFetchable(view, candidate, source.id) && !isOffered(view.peers, candidate))
  return position === undefined ? undefined : { position, source: source.id, kind: 'outside' }
}

/** Whether this instance's rank is due to draw a position from outside. */
function isDue (view: PlanView, position: number): boolean {
  const since = view.waitingSince.get(position)
  if (since === undefined) return false
  return view.now >= since + rankDelay(view.assignments.ranks[position] ?? 0, view.rankMilliseconds)
}

/** Milliseconds that a rank waits; it doubles with each rank, so that a slow source is not asked by everyone. */
export function rankDelay (rank: number, rankMilliseconds: number): number {
  return (2 ** Math.min(rank, maximumDelayedRank) - 1) * rankMilliseconds
}

function isFetchable (view: PlanView, position: number, source: string): boolean {
  if (hasBit(view.held, position)) return false
  const inProgress = view.fetches.get(position)
  if (inProgress === undefined || inProgress.sources.length === 0) return true
  return inProgress.sources.length < fetchesPerChunk && view.now >= inProgress.hedgeAt && !inProgress.sources.includes(source)
}

function nextPeerFetch (view: PlanView): PlannedFetch | undefined {
  if (view.freePeerSlots <= 0) return undefined
  const ready = view.peers.filter(peer => peer.retryAt <= view.now && peer.inFlight < view.fetchesPerPeer)
  let best: { readonly position: number, readonly cost: number } | undefined
  for (let step = 0; step < view.total; step += 1) {
    const position = (view.startPosition + step) % view.total
    if (hasBit(view.held, position)) continue
    if (!ready.some(peer => hasBit(peer.held, position) && isFetchable(view, position, peer.instance))) continue
    const cost = view.peers.filter(peer => hasBit(peer.held, position)).length
    if (best === undefined || cost < best.cost) best = { position, cost }
  }
  if (best === undefined) return undefined
  const { position } = best
  const holders = ready.filter(peer => hasBit(peer.held, position) && isFetchable(view, position, peer.instance))
  const [source] = holders.sort((left, right) => left.inFlight - right.inFlight)
  return source === undefined ? undefined : { position, source: source.instance, kind: 'peer' }
}
