/** Whose turn it is to draw a chunk from outside, and since when each position waits. */
import { hasBit } from '../../../core/weights/bitmap.js'
import { assignChunks, isOffered, outsideWindow, type ChunkAssignments, type PeerView } from '../../../core/weights/fetch-plan.js'
import type { HeldWeights } from './holdings.js'

/** Turns of one manifest in one data centre. */
export class OutsideTurns {
  duties: ChunkAssignments = { order: [], ranks: [], first: [] }
  private readonly since = new Map<number, number>()
  private membersKey = ''

  /** Epoch milliseconds since when each position waits. */
  get waitingSince (): ReadonlyMap<number, number> {
    return this.since
  }

  /** Whether the members differ from the last ones. */
  isNew (membersKey: string): boolean {
    const changed = membersKey !== this.membersKey || this.duties.order.length === 0
    this.membersKey = membersKey
    return changed
  }

  setMembers (chunks: readonly string[], instance: string, members: readonly string[]): void {
    this.duties = assignChunks(chunks, instance, members)
  }

  /** Notes what waits now; what was seen but is offered by nobody waits `lostMilliseconds` more. */
  note (weights: HeldWeights, peers: readonly PeerView[], lostMilliseconds: number): void {
    const now = Date.now()
    for (const position of this.since.keys()) {
      if (hasBit(weights.held, position) || isOffered(peers, position)) this.since.delete(position)
    }
    for (const position of outsideWindow(this.duties, weights.seen)) {
      if (!this.since.has(position)) this.since.set(position, now)
    }
    for (const position of this.duties.order) {
      const isLost = hasBit(weights.seen, position) && !hasBit(weights.held, position) && !isOffered(peers, position)
      if (isLost && !this.since.has(position)) this.since.set(position, now + lostMilliseconds)
    }
  }

  /** First drawers of positions that wait since before `before`, epoch milliseconds: they are asked before others draw in their place. */
  lateDrawers (before: number): ReadonlySet<string> {
    const late = [...this.since].filter(([position, since]) => since < before && this.duties.ranks[position] !== 0)
    return new Set(late.flatMap(([position]) => this.duties.first[position] ?? []))
  }
}
