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
/** Maximum delay that each rank adds before an agent fetches a chunk from the origin, in copy times of the origin. */
const rankDelayCopies = 0.35
/** Delay of a rank in chunk times of the origin: the requests that wait there when all primary fetchers are alive. */
const rankDelayChunks = 10
/** Addition to this delay, milliseconds: the next agent learns of a chunk that has arrived within that time. */
const rankDelayMilliseconds = 60
/** Factor by which the delay of a rank grows at most when the origin sends more slowly than its link could. */
const maximumSlowdown = 6
/** Factor on this delay for a chunk that has not fallen behind those that have left the origin. */
const unconfirmedDelayFactor = 2
/** Chunks that are due at the origin from the start; the following ones fall due at the pace of its link. */
const originWindowChunks = 6
/** Chunks that may be due beyond those that have arrived: those of the window, and those that arrived within the time that an announcement takes. */
const outstandingChunks = 16
/** Share of a chunk time after which the next chunk falls due: a little faster than the link, so that agents that start late do not leave it idle. */
const paceFactor = 0.9
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
  /** Chunks that have left the origin since `originSince`, as far as is known; undefined if that is not observed. */
  readonly originSent?: number
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
    const place = rankMembers(rankingKey, members).indexOf(self)
    return Array.from({ length: total }, (_, position) => rankAt(place, position, members.length))
  }
  return { amongAll: rankAmong([...new Set([self, ...all])]), amongDataCentre: rankAmong([...new Set([self, ...local])]) }
}

/** Rank for a position of the member at a place among `count` ordered ones, see `placeOfRank`. */
function rankAt (place: number, position: number, count: number): number {
  const distance = (place - position % count + count) % count
  if (distance === 0) return 0
  const others = count - 1
  return ((distance - 1 - Math.floor(position / count)) % others + others) % others + 1
}

/**
 * Place among `count` ordered members of the one with a rank for a position. The primary fetchers go round robin, so that
 * each has equally many chunks. Who takes over changes with each round, since one member alone would fetch the chunks of a
 * member that is gone one after another, and its own only after them.
 */
function placeOfRank (rank: number, position: number, count: number): number {
  const first = position % count
  if (rank === 0 || count === 1) return first
  return (first + 1 + (Math.floor(position / count) + rank - 1) % (count - 1)) % count
}

/** Member that fetches a chunk first; undefined if there are no members. */
export function primaryFetcher (position: number, members: readonly string[]): string | undefined {
  return rankMembers(rankingKey, members)[position % members.length]
}

/** Agents that are told at once of a chunk that has left the origin: its fetchers, in the order in which they would take over. */
const toldFetchers = 3
/** Chunks missing everywhere whose primary fetchers are told at once when the origin answers again. */
const toldPositions = 16

/** Agents that a chunk from the origin concerns first: those that would ask for it next, and the primary fetchers of some chunks in `missing`. */
export function originFetchers (position: number, missing: readonly number[], members: readonly string[]): readonly string[] {
  const ranked = rankMembers(rankingKey, members)
  const next = Array.from({ length: Math.min(toldFetchers, ranked.length) }, (_, rank) => placeOfRank(rank, position, ranked.length))
  const primaries = missing.slice(0, toldPositions).map(other => placeOfRank(0, other, ranked.length))
  return [...new Set([...next, ...primaries].flatMap(place => ranked[place] ?? []))]
}

/** Next fetch, from the origin if one is due and from a peer otherwise; undefined if none can start now. */
export function nextDistributionFetch (view: DistributionView): DistributionFetch | undefined {
  if (view.inFlight.size >= maximumFetches) return undefined
  return nextOriginFetch(view) ?? nextPeerFetch(view)
}

/**
 * The chunk that has been due for this agent for longest, so that it does not leave the chunks of an agent that is gone until
 * all of its own have arrived. Chunks fall due one after another at the pace of the origin's link, since partial chunks are
 * lost when the origin fails.
 */
function nextOriginFetch (view: DistributionView): DistributionFetch | undefined {
  if (view.originInFlight >= fetchesFromOrigin || view.originRetryAt > view.now) return undefined
  let best: { readonly position: number, readonly dueAt: number, readonly rank: number } | undefined
  for (let position = 0; position < view.total; position += 1) {
    if (!isFetchable(view, position)) continue
    const rank = Math.min(maximumDelayedRank, view.ranks.amongAll[position] ?? 0)
    const due = dueAt(view, position, rank)
    if (view.now < due) continue
    if (best === undefined || due < best.dueAt || (due === best.dueAt && rank < best.rank)) best = { position, dueAt: due, rank }
  }
  return best === undefined ? undefined : { position: best.position, peer: undefined }
}

/**
 * Monotonic time from which an agent of a rank may fetch a chunk from the origin, milliseconds. The delay of a rank counts from
 * the last failure, since after an outage all delays from before it have passed, and all agents would ask at once.
 */
function dueAt (view: DistributionView, position: number, rank: number): number {
  const place = view.originPlaces[position] ?? 0
  const { originSent } = view
  const isOffered = hasBit(view.offered, position)
  if (!isOffered && originSent !== undefined && place >= originSent + outstandingChunks) return Infinity
  // The origin has sent nearly all that has fallen due: its link would be idle soon.
  if (!isOffered && rank === 0 && originSent !== undefined && place < originSent + originWindowChunks) return view.originSince
  const chunkMilliseconds = view.originCopyMilliseconds / view.total
  const dueFrom = view.originSince + Math.max(0, place - originWindowChunks) * chunkMilliseconds * paceFactor
  const from = isOffered ? Math.max(dueFrom, view.offeredAt.get(position) ?? view.now) + offeredDelayCopies * view.originCopyMilliseconds : dueFrom
  const isTakeoverDue = rank === 0 || hasFallenBehind(view, place)
  return from + rank * rankDelay(view) * (isTakeoverDue ? 1 : unconfirmedDelayFactor)
}

/**
 * Whether a chunk should have left the origin, as enough later ones have: until then its fetcher may still wait for it, and
 * another fetch would only take a part of the link from the others. The last chunks have fewer behind them.
 */
function hasFallenBehind ({ originSent, total }: DistributionView, place: number): boolean {
  return originSent === undefined || place + Math.min(originWindowChunks, total - 1 - place) <= originSent
}

/** Delay of each rank, milliseconds: the time that a requested chunk takes to arrive, longer while the origin sends more slowly than its link could. */
function rankDelay (view: DistributionView): number {
  const chunkMilliseconds = view.originCopyMilliseconds / view.total
  const delay = Math.min(rankDelayCopies * view.originCopyMilliseconds, rankDelayChunks * chunkMilliseconds + rankDelayMilliseconds)
  if (view.originSent === undefined) return delay
  const observed = (view.now - view.originSince) / (view.originSent + originWindowChunks)
  return delay * Math.min(maximumSlowdown, Math.max(1, observed / chunkMilliseconds))
}

/** Earliest time at which another chunk falls due for this agent at the origin, milliseconds of the monotonic clock; undefined if none does. */
export function nextOriginDueAt (view: DistributionView): number | undefined {
  if (view.originInFlight >= fetchesFromOrigin || view.inFlight.size >= maximumFetches) return undefined
  let earliest = Infinity
  for (let position = 0; position < view.total; position += 1) {
    if (!isFetchable(view, position)) continue
    earliest = Math.min(earliest, dueAt(view, position, Math.min(maximumDelayedRank, view.ranks.amongAll[position] ?? 0)))
  }
  const at = Math.max(earliest, view.originRetryAt)
  return Number.isFinite(at) ? at : undefined
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
