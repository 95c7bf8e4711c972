/**
 * Chooses the next chunk that an agent fetches, and its source, for a service whose origin has bandwidth for about one
 * copy within the rollout: each chunk leaves the origin once, enters each data centre once, and is exchanged inside it.
 */
import { rankMembers } from '../../utils/rendezvous.js'
import { hasBit, unionOf, type Bitmap } from './bitmap.js'

/** Concurrent fetches of one agent. */
export const maximumFetches = 6
/** Concurrent fetches from one peer, whose link carries a chunk in some 40 ms. */
const fetchesPerPeer = 2
/** Concurrent fetches of one agent from the origin: all agents together saturate its link. */
const fetchesFromOrigin = 1
/** Delay that each rank adds, from the first offer on, before an agent fetches a chunk from another data centre, milliseconds. */
const remoteRankMilliseconds = 1800
/** Delay that each rank adds before an agent fetches a chunk from the origin, in copy times of the origin: long enough for a few chunks to leave the origin and for a slow link. */
const rankDelayCopies = 0.35
/** Chunks that are due at the origin from the start; the following ones fall due at the pace of its link. */
const originWindowChunks = 6
/** Delay before a chunk that peers offer is fetched from the origin all the same, in copy times of the origin: by then the peers have failed to deliver it. */
const offeredDelayCopies = 2.5
/** Rank from which on the delay no longer grows. */
const maximumDelayedRank = 4

/** Rendezvous hashing key that orders the agents; all of them must use the same one. */
const rankingKey = 'spread'

/** Another agent of the service, as of its last report. */
export interface DistributionPeer {
  readonly ip: string
  readonly isInSameDataCentre: boolean
  /** Chunk positions that it reports to hold. */
  readonly held: Bitmap
  /** Fetches from it in progress. */
  readonly inFlight: number
  /** Monotonic time before which nothing is requested from it, milliseconds. */
  readonly retryAt: number
}

/** Ranks of one agent for each chunk position; the agent of rank 0 is the primary fetcher. */
export interface FetchRanks {
  /** Among all agents of the service, for fetches from the origin. */
  readonly amongAll: readonly number[]
  /** Among the agents of its data centre, for fetches from other data centres. */
  readonly amongDataCentre: readonly number[]
}

/** Input of the choice; all times are milliseconds of the monotonic clock. */
export interface DistributionView {
  readonly now: number
  /** Number of chunks of the version. */
  readonly total: number
  /** Positions that this agent holds. */
  readonly held: Bitmap
  readonly ranks: FetchRanks
  /** Since when the origin is expected to send the version: since the version is wanted, or since the last fetch from it that failed. */
  readonly originSince: number
  /** Place of each position in the order in which positions fall due at the origin from then on. */
  readonly originPlaces: readonly number[]
  readonly peers: readonly DistributionPeer[]
  /** Positions that agents are known to hold, without those that fail to deliver. */
  readonly offered: Bitmap
  /** Since when each of these positions has been known to be offered, milliseconds of the monotonic clock. */
  readonly offeredAt: ReadonlyMap<number, number>
  /** Positions with a fetch in progress. */
  readonly inFlight: ReadonlySet<number>
  /** Fetches from the origin in progress. */
  readonly originInFlight: number
  /** Before this time nothing is requested from the origin. */
  readonly originRetryAt: number
  /** Time that the link of the origin needs for one copy, milliseconds. */
  readonly originCopyMilliseconds: number
}

/** A fetch to start; without a peer it goes to the origin. */
export interface DistributionFetch {
  readonly position: number
  /** IP address of the peer. */
  readonly peer: string | undefined
}

/** Ranks of `self` among all agents (`all`) and among those of its data centre (`local`). */
export function fetchRanks (total: number, self: string, all: readonly string[], local: readonly string[]): FetchRanks {
  const rankAmong = (members: readonly string[]): readonly number[] => {
    // Round robin over the ordered members, so that each one is the primary fetcher of equally many chunks.
    const ownRank = rankMembers(rankingKey, members).indexOf(self)
    return Array.from({ length: total }, (_, position) => (ownRank - position % members.length + members.length) % members.length)
  }
  return { amongAll: rankAmong([...new Set([self, ...all])]), amongDataCentre: rankAmong([...new Set([self, ...local])]) }
}

/** Member that fetches a chunk first; undefined if there are no members. */
export function primaryFetcher (position: number, members: readonly string[]): string | undefined {
  return rankMembers(rankingKey, members)[position % members.length]
}

/** Next fetch, from the origin if one is due and from a peer otherwise; undefined if none can start now. */
export function nextDistributionFetch (view: DistributionView): DistributionFetch | undefined {
  if (view.inFlight.size >= maximumFetches) return undefined
  return nextOriginFetch(view) ?? nextPeerFetch(view)
}

/**
 * The due chunk with the lowest rank of this agent, so that agents with several due chunks fetch different ones. Chunks
 * fall due one after another at the pace of the origin's link, since partial chunks are lost when the origin fails.
 */
function nextOriginFetch (view: DistributionView): DistributionFetch | undefined {
  if (view.originInFlight >= fetchesFromOrigin || view.originRetryAt > view.now) return undefined
  let best: { readonly position: number, readonly rank: number } | undefined
  for (let position = 0; position < view.total; position += 1) {
    if (!isFetchable(view, position)) continue
    const rank = Math.min(maximumDelayedRank, view.ranks.amongAll[position] ?? 0)
    if (view.now >= dueAt(view, position, rank) && (best === undefined || rank < best.rank)) best = { position, rank }
  }
  return best === undefined ? undefined : { position: best.position, peer: undefined }
}

/**
 * Monotonic time from which an agent of a rank may fetch a chunk from the origin, milliseconds. The delay of a rank counts from
 * the last failure, since after an outage all delays from before it have passed, and all agents would ask at once.
 */
function dueAt (view: DistributionView, position: number, rank: number): number {
  const chunkMilliseconds = view.originCopyMilliseconds / view.total
  const paceDelay = Math.max(0, (view.originPlaces[position] ?? 0) - originWindowChunks) * chunkMilliseconds
  const dueFrom = view.originSince + paceDelay
  const from = hasBit(view.offered, position) ? Math.max(dueFrom, view.offeredAt.get(position) ?? view.now) + offeredDelayCopies * view.originCopyMilliseconds : dueFrom
  return from + rank * rankDelayCopies * view.originCopyMilliseconds
}

/** Place of each position in the order in which positions fall due at the origin: those that are missing everywhere come first. */
export function originPlaces (total: number, available: Bitmap): readonly number[] {
  const positions = Array.from({ length: total }, (_, position) => position)
  const order = [...positions.filter(position => !hasBit(available, position)), ...positions.filter(position => hasBit(available, position))]
  const places = new Array<number>(total).fill(0)
  for (const [place, position] of order.entries()) places[position] = place
  return places
}

/** Rarest missing chunk first, starting behind a position for which this agent is the primary fetcher. */
function nextPeerFetch (view: DistributionView): DistributionFetch | undefined {
  const sources = peerSources(view)
  const start = view.total === 0 ? 0 : (view.ranks.amongAll.indexOf(0) + 1) % view.total
  let rarest: { readonly position: number, readonly holderCount: number } | undefined
  for (let offset = 0; offset < view.total; offset += 1) {
    const position = (start + offset) % view.total
    if (!isFetchable(view, position) || !hasSource(view, sources, position)) continue
    const holderCount = countHolders(view.peers, position)
    if (rarest === undefined || holderCount < rarest.holderCount) rarest = { position, holderCount }
  }
  if (rarest === undefined) return undefined
  const { position } = rarest
  const candidates = sources.available.filter(peer => hasBit(peer.held, position) && (peer.isInSameDataCentre || !hasBit(sources.nearbyAvailable, position)))
  return { position, peer: leastLoaded(candidates)?.ip }
}

/** Peers that can be asked now, and the chunks that they hold. */
interface PeerSources {
  /** Peers past their retry time with a free slot. */
  readonly available: readonly DistributionPeer[]
  /** Chunks of the available peers in the same data centre. */
  readonly nearbyAvailable: Bitmap
  /** Chunks of the peers in the same data centre that are past their retry time, with or without a free slot. */
  readonly nearbyUsable: Bitmap
  /** Chunks of all available peers. */
  readonly anyAvailable: Bitmap
}

function peerSources ({ peers, now, total }: DistributionView): PeerSources {
  const usable = peers.filter(peer => peer.retryAt <= now)
  const available = usable.filter(peer => peer.inFlight < fetchesPerPeer)
  const heldBy = (holders: readonly DistributionPeer[]): Bitmap => unionOf(total, holders.map(({ held }) => held))
  return {
    available,
    nearbyAvailable: heldBy(available.filter(peer => peer.isInSameDataCentre)),
    nearbyUsable: heldBy(usable.filter(peer => peer.isInSameDataCentre)),
    anyAvailable: heldBy(available)
  }
}

/** Whether a chunk can be fetched from the same data centre, or from another one if this agent has to bring it into its own. */
function hasSource (view: DistributionView, sources: PeerSources, position: number): boolean {
  if (hasBit(sources.nearbyAvailable, position)) return true
  if (!hasBit(sources.anyAvailable, position) || hasBit(sources.nearbyUsable, position)) return false
  const rank = Math.min(maximumDelayedRank, view.ranks.amongDataCentre[position] ?? 0)
  return view.now >= (view.offeredAt.get(position) ?? view.now) + rank * remoteRankMilliseconds
}

function countHolders (peers: readonly DistributionPeer[], position: number): number {
  let count = 0
  for (const { held } of peers) if (hasBit(held, position)) count += 1
  return count
}

function leastLoaded (peers: readonly DistributionPeer[]): DistributionPeer | undefined {
  return peers.reduce<DistributionPeer | undefined>((least, peer) => least === undefined || peer.inFlight < least.inFlight ? peer : least, undefined)
}

function isFetchable (view: DistributionView, position: number): boolean {
  return !hasBit(view.held, position) && !view.inFlight.has(position)
}
