/**
 * Which chunk an agent draws next, and from where, when the origin's link carries about one copy in the time that
 * all instances have: each chunk leaves the origin once, enters each data centre once, and is exchanged inside it.
 */
import { rankMembers } from '../../utils/rendezvous.js'
import { hasBit, type Bitmap } from './bitmap.js'

/** Draws that one agent runs at once. */
export const maximumFetches = 6
/** Draws from one peer at once: its link carries a chunk in some 40 ms. */
const fetchesPerPeer = 2
/** Draws from the origin at once: the agents together keep its link full. */
const fetchesFromOrigin = 1
/** Time after which the next in rank draws from another data centre, milliseconds. */
const remoteRankMilliseconds = 1800
/** Copy times of the origin after which the next in rank draws a chunk: a few chunks' turns and a slow link's time. */
const rankDelayCopies = 0.35
/** Chunks that are drawn from the origin at once, all agents together. */
const originWindowChunks = 6
/** Copy times of the origin after which a chunk that others offer is drawn from the origin all the same: they do not deliver it. */
const offeredDelayCopies = 2.5
/** Rank from which on the wait no longer grows. */
const maximumDelayedRank = 4

/** Key under which agents are ranked. */
const rankingKey = 'spread'

/** Another agent of the service, as last heard. */
export interface DistributionPeer {
  readonly ip: string
  readonly isInSameDataCentre: boolean
  readonly held: Bitmap
  readonly inFlight: number
  /** Steady milliseconds before which it is not asked. */
  readonly retryAt: number
}

/** Ranks of one agent for each chunk; 0 draws first. */
export interface FetchRanks {
  readonly amongAll: readonly number[]
  readonly amongDataCentre: readonly number[]
}

/** What a choice looks at. */
export interface DistributionView {
  readonly now: number
  readonly total: number
  readonly held: Bitmap
  readonly ranks: FetchRanks
  /** Steady milliseconds since when the chunks are wanted. */
  readonly wantedAt: number
  readonly peers: readonly DistributionPeer[]
  /** Positions that some agent is known to hold and to give. */
  readonly offered: Bitmap
  /** Positions that are being drawn. */
  readonly inFlight: ReadonlySet<number>
  readonly originInFlight: number
  /** Steady milliseconds before which the origin is not asked. */
  readonly originRetryAt: number
  /** Time in which the origin's link carries one copy, milliseconds. */
  readonly originCopyMilliseconds: number
}

/** One draw; without a peer it goes to the origin. */
export interface DistributionFetch {
  readonly position: number
  readonly peer: string | undefined
}

/** Ranks of `self` among all agents and among those of its data centre. */
export function fetchRanks (total: number, self: string, all: readonly string[], near: readonly string[]): FetchRanks {
  const rankAmong = (members: readonly string[]): readonly number[] => {
    // Positions go round the members, so that each draws the same number of chunks first.
    const ownRank = rankMembers(rankingKey, members).indexOf(self)
    return Array.from({ length: total }, (_, position) => (ownRank - position % members.length + members.length) % members.length)
  }
  return { amongAll: rankAmong([...new Set([self, ...all])]), amongDataCentre: rankAmong([...new Set([self, ...near])]) }
}

/** The member of a data centre that draws a chunk first. */
export function primaryFetcher (position: number, members: readonly string[]): string | undefined {
  return rankMembers(rankingKey, members)[position % members.length]
}

/** The next draw; undefined when nothing can start now. */
export function nextDistributionFetch (view: DistributionView): DistributionFetch | undefined {
  if (view.inFlight.size >= maximumFetches) return undefined
  return nextOriginFetch(view) ?? nextPeerFetch(view)
}

/**
 * The due chunk for which this agent ranks first, so that agents which are all due draw different ones. Chunks fall due
 * one after the other at the pace of the origin's link: what is half drawn when the origin fails is lost.
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

/** Steady milliseconds from which a chunk may be drawn from the origin in some rank. */
function dueAt (view: DistributionView, position: number, rank: number): number {
  const chunkMilliseconds = view.originCopyMilliseconds / view.total
  const turn = Math.max(0, position - originWindowChunks) * chunkMilliseconds
  return view.wantedAt + turn + (rank * rankDelayCopies + (hasBit(view.offered, position) ? offeredDelayCopies : 0)) * view.originCopyMilliseconds
}

function nextPeerFetch (view: DistributionView): DistributionFetch | undefined {
  const ready = view.peers.filter(peer => peer.retryAt <= view.now && peer.inFlight < fetchesPerPeer)
  let best: { readonly draw: DistributionFetch, readonly holders: number } | undefined
  const start = view.total === 0 ? 0 : (view.ranks.amongAll.indexOf(0) + 1) % view.total
  for (let step = 0; step < view.total; step += 1) {
    const position = (start + step) % view.total
    if (!isFetchable(view, position)) continue
    const source = sourceOf(view, ready, position)
    if (source === undefined) continue
    const holders = view.peers.filter(peer => hasBit(peer.held, position)).length
    if (best === undefined || holders < best.holders) best = { draw: { position, peer: source.ip }, holders }
  }
  return best?.draw
}

/** A holder nearby, or one far away where this agent is to bring the chunk into its data centre. */
function sourceOf (view: DistributionView, ready: readonly DistributionPeer[], position: number): DistributionPeer | undefined {
  const holders = ready.filter(peer => hasBit(peer.held, position))
  const near = leastLoaded(holders.filter(peer => peer.isInSameDataCentre))
  if (near !== undefined) return near
  if (view.peers.some(peer => peer.isInSameDataCentre && hasBit(peer.held, position) && peer.retryAt <= view.now)) return undefined
  const rank = Math.min(maximumDelayedRank, view.ranks.amongDataCentre[position] ?? 0)
  return view.now >= view.wantedAt + rank * remoteRankMilliseconds ? leastLoaded(holders) : undefined
}

function leastLoaded (peers: readonly DistributionPeer[]): DistributionPeer | undefined {
  return peers.reduce<DistributionPeer | undefined>((least, peer) => least === undefined || peer.inFlight < least.inFlight ? peer : least, undefined)
}

function isFetchable (view: DistributionView, position: number): boolean {
  return !hasBit(view.held, position) && !view.inFlight.has(position)
}
