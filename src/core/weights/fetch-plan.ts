/** Chooses the next chunk that an instance fetches, and the source to fetch it from. */
import { rankMembers } from '../../utils/rendezvous.js'
import { hasBit, type Bitmap } from './bitmap.js'

/** Chunks that the instances of a data centre fetch from outside at the same time. */
export const originWindowChunks = 6

/** Concurrent fetches of one chunk: the first and one hedge. */
const fetchesPerChunk = 2

/** Rank from which on the delay no longer grows. */
const maximumDelayedRank = 6

/** A peer of the same data centre, as of its last report. */
export interface PeerView {
  readonly instance: string
  /** Chunk positions that it reports to hold. */
  readonly held: Bitmap
  /** Fetches from it in progress. */
  readonly inFlight: number
  /** Epoch milliseconds before which nothing is requested from it. */
  readonly retryAt: number
  /** False while it fails to deliver chunks that it reports to hold; these are then fetched from outside all the same. */
  readonly isTrusted: boolean
}

/** A source outside the data centre: the origin, the store or a peer of another data centre. */
export interface SourceView {
  readonly id: string
  /** Fetches from it in progress. */
  readonly inFlight: number
  /** Maximum of concurrent fetches from it. */
  readonly slots: number
  /** Epoch milliseconds before which nothing is requested from it. */
  readonly retryAt: number
}

/** Concurrent fetches of one chunk. */
export interface FetchInProgress {
  readonly sources: readonly string[]
  /** Epoch milliseconds from which a second source may be used as a hedge. */
  readonly hedgeAt: number
}

/** Which instance fetches which chunk from outside the data centre, from the view of one instance. */
export interface ChunkAssignments {
  /** Chunk positions in the order in which the data centre fetches them. */
  readonly order: readonly number[]
  /** This instance's rank for each position: 0 is the primary fetcher, higher ranks take over after a delay. */
  readonly ranks: readonly number[]
  /** Primary fetcher (rank 0) of each position. */
  readonly first: readonly string[]
}

/** Input of the choice. */
export interface PlanView {
  /** Epoch milliseconds. */
  readonly now: number
  /** Number of chunks of the manifest. */
  readonly total: number
  /** Positions that this instance holds. */
  readonly held: Bitmap
  /** Positions that some instance of the data centre was reported to hold. */
  readonly seen: Bitmap
  readonly assignments: ChunkAssignments
  /** Epoch milliseconds since when each position waits to be fetched from outside. */
  readonly waitingSince: ReadonlyMap<number, number>
  /** Fetches in progress by position. */
  readonly fetches: ReadonlyMap<number, FetchInProgress>
  readonly peers: readonly PeerView[]
  /** Further fetches from peers that may start. */
  readonly freePeerSlots: number
  /** Sources outside the data centre, in order of preference. */
  readonly sources: readonly SourceView[]
  /** Delay of rank 1, milliseconds; `rankDelay` derives the delays of higher ranks. */
  readonly rankMilliseconds: number
  /** Maximum of concurrent fetches from one peer. */
  readonly fetchesPerPeer: number
  /** Position from which equally rare chunks are searched; it differs between instances, so that they fetch different ones. */
  readonly startPosition: number
}

/** A fetch to start: the chunk and its source, an instance or a source id. */
export interface PlannedFetch {
  readonly position: number
  readonly source: string
  readonly kind: 'outside' | 'peer'
}

/** Assigns chunks (by digest) to the members of a data centre by rendezvous hashing; `instance` takes part even if it is not listed. */
export function assignChunks (chunks: readonly string[], instance: string, members: readonly string[]): ChunkAssignments {
  const allMembers = members.includes(instance) ? members : [...members, instance]
  const ranked = chunks.map(chunk => rankMembers(chunk, allMembers))
  return {
    order: chunks.map((_, position) => position),
    ranks: ranked.map(order => order.indexOf(instance)),
    first: ranked.map(order => order[0] ?? instance)
  }
}

/** Positions that the data centre fetches from outside now: the first ones that no instance there was reported to hold. */
export function outsideWindow (assignments: ChunkAssignments, seen: Bitmap): readonly number[] {
  return assignments.order.filter(position => !hasBit(seen, position)).slice(0, originWindowChunks)
}

/** Whether a trusted peer reports to hold a position. */
export function isOffered (peers: readonly PeerView[], position: number): boolean {
  return peers.some(peer => peer.isTrusted && hasBit(peer.held, position))
}

/** Next fetch, from outside if one is due and from a peer otherwise; undefined if none can start now. */
export function nextFetch (view: PlanView): PlannedFetch | undefined {
  return nextOutsideFetch(view) ?? nextPeerFetch(view)
}

function nextOutsideFetch (view: PlanView): PlannedFetch | undefined {
  const source = view.sources.find(candidate => candidate.retryAt <= view.now)
  if (source === undefined || source.inFlight >= source.slots) return undefined
  const position = view.assignments.order.find(candidate => isDue(view, candidate) && isFetchable(view, candidate, source.id) && !isOffered(view.peers, candidate))
  return position === undefined ? undefined : { position, source: source.id, kind: 'outside' }
}

/** Whether the delay of this instance's rank for fetching a position from outside has passed. */
function isDue (view: PlanView, position: number): boolean {
  const since = view.waitingSince.get(position)
  if (since === undefined) return false
  return view.now >= since + rankDelay(view.assignments.ranks[position] ?? 0, view.rankMilliseconds)
}

/** Delay of a rank, milliseconds; it roughly doubles with each rank, so that a slow source is not flooded by all instances. */
export function rankDelay (rank: number, rankMilliseconds: number): number {
  return (2 ** Math.min(rank, maximumDelayedRank) - 1) * rankMilliseconds
}

/** Whether a chunk is missing and may be fetched from a source, as the first fetch or as a hedge. */
function isFetchable (view: PlanView, position: number, source: string): boolean {
  if (hasBit(view.held, position)) return false
  const inProgress = view.fetches.get(position)
  if (inProgress === undefined || inProgress.sources.length === 0) return true
  return inProgress.sources.length < fetchesPerChunk && view.now >= inProgress.hedgeAt && !inProgress.sources.includes(source)
}

/** Rarest missing chunk first, from the holder with the fewest fetches in progress. */
function nextPeerFetch (view: PlanView): PlannedFetch | undefined {
  if (view.freePeerSlots <= 0) return undefined
  const available = view.peers.filter(peer => peer.retryAt <= view.now && peer.inFlight < view.fetchesPerPeer)
  let rarest: { readonly position: number, readonly holderCount: number } | undefined
  for (let offset = 0; offset < view.total; offset += 1) {
    const position = (view.startPosition + offset) % view.total
    if (hasBit(view.held, position)) continue
    if (!available.some(peer => hasBit(peer.held, position) && isFetchable(view, position, peer.instance))) continue
    const holderCount = view.peers.filter(peer => hasBit(peer.held, position)).length
    if (rarest === undefined || holderCount < rarest.holderCount) rarest = { position, holderCount }
  }
  if (rarest === undefined) return undefined
  const { position } = rarest
  const holders = available.filter(peer => hasBit(peer.held, position) && isFetchable(view, position, peer.instance))
  const [source] = holders.sort((left, right) => left.inFlight - right.inFlight)
  return source === undefined ? undefined : { position, source: source.instance, kind: 'peer' }
}
