/** The pace of one engine as the agent beside it knows it, from the entries that have seen the engine's answers. */
import type { PaceReport, SlotReply } from '../../types/node-messages.js'
import { maximumStatedPace, paceChangeMilliseconds } from './upstream-pace.js'

/** Last pace that an entry has told; times in milliseconds of the monotonic clock. Load pattern: many entries, each of which sees an answer of one engine only once in many seconds. */
export class EnginePace {
  /** Start of the engine, epoch milliseconds. */
  private startedAt: number | undefined
  private last: { readonly value: number, readonly at: number } | undefined

  /** Records the start that the engine reports; a pace of an earlier one no longer counts. */
  recordStart (startedAt: number): void {
    if (startedAt !== this.startedAt) this.last = undefined
    this.startedAt = startedAt
  }

  /** Records a pace that an entry tells; one of another start and one out of range are ignored. */
  record ({ startedAt, pace }: Omit<PaceReport, 'kind'>, now: number): void {
    if (startedAt === this.startedAt && pace > 0 && pace <= maximumStatedPace) this.last = { value: pace, at: now }
  }

  /** The pace as a reply to an entry carries it; undefined once it is so old that it says nothing any more. */
  at (now: number): SlotReply['pace'] {
    if (this.last === undefined || now - this.last.at > paceChangeMilliseconds) return undefined
    return { value: this.last.value, ageMilliseconds: Math.round(now - this.last.at) }
  }
}
