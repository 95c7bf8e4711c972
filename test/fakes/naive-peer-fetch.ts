/** Choice of a fetch from a peer written for clarity, which the tests compare with the one in use. */
import { hasBit } from '../../src/core/weights/bitmap.js'
import type { DistributionFetch, DistributionPeer, DistributionView } from '../../src/core/weights/distribution-plan.js'

const fetchesPerPeer = 2
const remoteRankMilliseconds = 1800
const maximumDelayedRank = 4

/** Rarest missing chunk first, starting behind a position for which this agent is the primary fetcher. */
export function naivePeerFetch (view: DistributionView): DistributionFetch | undefined {
  const available = view.peers.filter(peer => peer.retryAt <= view.now && peer.inFlight < fetchesPerPeer)
  let rarest: { readonly fetch: DistributionFetch, readonly holderCount: number } | undefined
  const start = view.total === 0 ? 0 : (view.ranks.amongAll.indexOf(0) + 1) % view.total
  for (let offset = 0; offset < view.total; offset += 1) {
    const position = (start + offset) % view.total
    if (!isFetchable(view, position)) continue
    const source = sourceOf(view, available, position)
    if (source === undefined) continue
    const holderCount = view.peers.filter(peer => hasBit(peer.held, position)).length
    if (rarest === undefined || holderCount < rarest.holderCount) rarest = { fetch: { position, peer: source.ip }, holderCount }
  }
  return rarest?.fetch
}

/** Holder in the same data centre; one of another data centre only if this agent has to bring the chunk into its own. */
function sourceOf (view: DistributionView, available: readonly DistributionPeer[], position: number): DistributionPeer | undefined {
  const holders = available.filter(peer => hasBit(peer.held, position))
  const local = leastLoaded(holders.filter(peer => peer.isInSameDataCentre))
  if (local !== undefined) return local
  if (view.peers.some(peer => peer.isInSameDataCentre && hasBit(peer.held, position) && peer.retryAt <= view.now)) return undefined
  const rank = Math.min(maximumDelayedRank, view.ranks.amongDataCentre[position] ?? 0)
  return view.now >= (view.offeredAt.get(position) ?? view.now) + rank * remoteRankMilliseconds ? leastLoaded(holders) : undefined
}

function leastLoaded (peers: readonly DistributionPeer[]): DistributionPeer | undefined {
  return peers.reduce<DistributionPeer | undefined>((least, peer) => least === undefined || peer.inFlight < least.inFlight ? peer : least, undefined)
}

function isFetchable (view: DistributionView, position: number): boolean {
  return !hasBit(view.held, position) && !view.inFlight.has(position)
}
