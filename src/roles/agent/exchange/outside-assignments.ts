/** Which instance fetches which chunk from outside the data centre, and since when each position waits for it. */
import { hasBit } from '../../../core/weights/bitmap.js'
import { assignChunks, isOffered, outsideWindow, type ChunkAssignments, type PeerView } from '../../../core/weights/fetch-plan.js'
import type { HeldWeights } from './holdings.js'

/** Assignments for one manifest in one data centre. */
export class OutsideAssignments {
  current: ChunkAssignments = { order: [], ranks: [], first: [] }
  private readonly since = new Map<number, number>()
  private membersKey = ''

  /** Epoch milliseconds since when each position waits to be fetched from outside. */
  get waitingSince (): ReadonlyMap<number, number> {
    return this.since
  }

  /** Whether the members differ from those of the last call, or none were assigned yet. */
  haveMembersChanged (membersKey: string): boolean {
    const changed = membersKey !== this.membersKey || this.current.order.length === 0
    this.membersKey = membersKey
    return changed
  }

  setMembers (chunks: readonly string[], instance: string, members: readonly string[]): void {
    this.current = assignChunks(chunks, instance, members)
  }

  /**
   * Updates which positions wait. A position that was seen in the data centre but that no peer offers any more counts as
   * lost and waits `lostHolderMilliseconds` longer, in case its holder reports again.
   */
  refreshWaiting (weights: HeldWeights, peers: readonly PeerView[], lostHolderMilliseconds: number): void {
    const now = Date.now()
    for (const position of this.since.keys()) {
      if (hasBit(weights.held, position) || isOffered(peers, position)) this.since.delete(position)
    }
    for (const position of outsideWindow(this.current, weights.seen)) {
      if (!this.since.has(position)) this.since.set(position, now)
    }
    for (const position of this.current.order) {
      const isLost = hasBit(weights.seen, position) && !hasBit(weights.held, position) && !isOffered(peers, position)
      if (isLost && !this.since.has(position)) this.since.set(position, now + lostHolderMilliseconds)
    }
  }

  /** Primary fetchers of positions that have waited since before `before` (epoch milliseconds); they are polled before this instance takes over from them. */
  latePrimaryFetchers (before: number): ReadonlySet<string> {
    const late = [...this.since].filter(([position, since]) => since < before && this.current.ranks[position] !== 0)
    return new Set(late.flatMap(([position]) => this.current.first[position] ?? []))
  }
}
